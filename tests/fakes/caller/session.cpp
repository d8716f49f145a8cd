#include "fakes/caller/session.hpp"

#include "fakes/common/digest.hpp"
#include "fakes/common/record.hpp"

namespace cornelcross::fakes {

Session::Session(SessionPlan aPlan, Tally& aTally) : mPlan(std::move(aPlan)), mTally(aTally) {}

void Session::start()
{
  ++mTally.mOpen;
  TcpConnection::Hooks hooks;
  hooks.mOnConnected = [self = shared_from_this()] {
    self->mIsConnected = true;
    ++self->mTally.mFlows;
    record(self->mPlan.mName,
           "session_connected",
           { { "session", self->mPlan.mId },
             { "caller", self->mConnection->local().toString() },
             { "service", self->mPlan.mService.toString() } });
    self->sendNext();
  };
  hooks.mOnData = [self = shared_from_this()](const std::string& aData) { self->onData(aData); };
  hooks.mOnEnd = [self = shared_from_this()](TcpEnd aEnd) { self->onEnd(aEnd); };
  if (mPlan.mSynData) {
    mPlan.mSynData(requestLine());
  }
  mConnection = TcpConnection::connect(mPlan.mSource, mPlan.mService, std::move(hooks));
  if (mConnection == nullptr) {
    finish("no_port");
  }
}

std::string Session::requestLine() const
{
  return AppRequest{ mPlan.mKind, requestId(), mPlan.mSize, mPlan.mWorkMs }.toLine();
}

void Session::sendNext()
{
  if (mIsOver) {
    return;
  }
  mIsWaiting = true;
  record(mPlan.mName, "request_sent", { { "id", requestId() }, { "kind", mPlan.mKind } });
  mConnection->write(requestLine());
  watch(mRequest);
}

void Session::watch(std::uint32_t aRequest)
{
  LwipStack::after(mPlan.mDeadlineMs, [self = shared_from_this(), aRequest] {
    if (!self->mIsOver && self->mIsWaiting && self->mRequest == aRequest) {
      ++self->mTally.mBroken;
      self->finish("deadline");
    }
  });
}

void Session::onData(const std::string& aData)
{
  mInput += aData;
  while (!mIsOver && takeAnswer()) {
  }
}

bool Session::takeAnswer()
{
  const auto end = mInput.find('\n');
  if (end == std::string::npos) {
    return false;
  }
  const auto answer = AppAnswer::parse(mInput.substr(0, end));
  if (!answer) {
    ++mTally.mIncomplete;
    finish("malformed");
    return false;
  }
  if (mInput.size() < end + 1 + answer->mSize) {
    return false;
  }
  const std::string body = mInput.substr(end + 1, answer->mSize);
  mInput.erase(0, end + 1 + answer->mSize);
  finishRequest(*answer, body);
  return true;
}

void Session::finishRequest(const AppAnswer& aAnswer, const std::string& aBody)
{
  mIsWaiting = false;
  const bool isShed = aAnswer.mStatus == "shed";
  const bool isComplete =
    aAnswer.mId == requestId() && (isShed || aBody == bodyOf(requestId(), mPlan.mSize));
  record(mPlan.mName,
         "answer_received",
         { { "id", requestId() },
           { "answer_id", aAnswer.mId },
           { "status", aAnswer.mStatus },
           { "digest", digestOf(aBody) },
           { "whole", isComplete ? "yes" : "no" } });
  if (!isComplete) {
    ++mTally.mIncomplete;
  } else if (isShed) {
    ++mTally.mShed;
  } else {
    ++mTally.mAnswered;
  }
  ++mRequest;
  if (mRequest >= mPlan.mRequests) {
    finish("done");
    return;
  }
  LwipStack::after(mPlan.mThinkMs, [self = shared_from_this()] { self->sendNext(); });
}

void Session::onEnd(TcpEnd aEnd)
{
  if (mIsOver) {
    return;
  }
  if (mIsConnected) {
    ++mTally.mBroken;
    finish(aEnd == TcpEnd::kReset ? "reset" : aEnd == TcpEnd::kClosed ? "closed_early" : "aborted");
  } else if (aEnd == TcpEnd::kRefused) {
    ++mTally.mRefused;
    finish("refused");
  } else {
    ++mTally.mUnanswered;
    finish("unanswered");
  }
}

void Session::finish(const std::string& aOutcome)
{
  mIsOver = true;
  --mTally.mOpen;
  record(mPlan.mName,
         "session_ended",
         { { "session", mPlan.mId },
           { "outcome", aOutcome },
           { "caller", mConnection ? mConnection->local().toString() : "none" },
           { "requests", std::to_string(mRequest) } });
  if (mConnection) {
    mConnection->close();
    mConnection.reset();
  }
}

} // namespace cornelcross::fakes
