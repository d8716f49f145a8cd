#include "fakes/upstream/server.hpp"

#include "fakes/common/digest.hpp"
#include "fakes/common/record.hpp"

namespace cornelcross::fakes {

Server::Server(const ServerSettings& aSettings)
  : mSettings(aSettings), mStarted(std::chrono::steady_clock::now())
{
}

void Server::start()
{
  tcp_pcb* pcb = tcp_new();
  tcp_bind(pcb, IP_ADDR_ANY, mSettings.mService.mPort);
  tcp_pcb* listener = tcp_listen_with_backlog(pcb, 255);
  tcp_arg(listener, this);
  tcp_accept(listener, &Server::onAccept);
  record(mSettings.mName,
         "upstream_started",
         { { "service", mSettings.mService.toString() },
           { "slots", std::to_string(mSettings.mSlots) },
           { "cold_ms", std::to_string(mSettings.mColdMs) },
           { "cold_slots", std::to_string(mSettings.mColdSlots) } });
}

void Server::onArrival(const flow::TcpPacket& aPacket, const std::string& aData)
{
  if (aPacket.mDestination != mSettings.mService) {
    record(
      mSettings.mName,
      "foreign_packet",
      { { "caller", aPacket.mSource.toString() }, { "service", aPacket.mDestination.toString() } });
    return;
  }
  const auto request = AppRequest::parse(aData);
  if (aPacket.isInitialSyn() && request) {
    onRequest(nullptr, *request);
  }
}

bool Server::isCold() const
{
  const auto age = std::chrono::steady_clock::now() - mStarted;
  return age < std::chrono::milliseconds(mSettings.mColdMs);
}

err_t Server::onAccept(void* aSelf, tcp_pcb* aPcb, err_t aError)
{
  if (aError == ERR_OK && aPcb != nullptr) {
    static_cast<Server*>(aSelf)->acceptConnection(aPcb);
  }
  return ERR_OK;
}

void Server::acceptConnection(tcp_pcb* aPcb)
{
  auto session = std::make_shared<Session>();
  TcpConnection::Hooks hooks;
  hooks.mOnData = [this, session](const std::string& aData) { onData(session, aData); };
  hooks.mOnEnd = [this, session](TcpEnd aEnd) {
    record(mSettings.mName,
           "connection_ended",
           { { "caller", session->mConnection->remote().toString() },
             { "end", aEnd == TcpEnd::kClosed ? "closed" : "reset" } });
    session->mConnection->close();
    session->mConnection.reset();
  };
  session->mConnection = TcpConnection::accept(aPcb, std::move(hooks));
  record(mSettings.mName,
         "connection_accepted",
         { { "caller", session->mConnection->remote().toString() },
           { "service", session->mConnection->local().toString() } });
}

void Server::onData(const std::shared_ptr<Session>& aSession, const std::string& aData)
{
  aSession->mInput += aData;
  for (auto end = aSession->mInput.find('\n'); end != std::string::npos;
       end = aSession->mInput.find('\n')) {
    const auto request = AppRequest::parse(aSession->mInput.substr(0, end));
    aSession->mInput.erase(0, end + 1);
    if (request) {
      onRequest(aSession->mConnection, *request);
    }
  }
}

void Server::onRequest(const Connection& aConnection, const AppRequest& aRequest)
{
  record(
    mSettings.mName, "request_received", { { "id", aRequest.mId }, { "kind", aRequest.mKind } });
  const auto concurrent = static_cast<std::uint32_t>(mRunning + mWaiting.size() + 1);
  if (isCold() && concurrent > mSettings.mColdSlots) {
    record(mSettings.mName,
           "cold_overload",
           { { "concurrent", std::to_string(concurrent) },
             { "bears", std::to_string(mSettings.mColdSlots) } });
  }
  if (mWaiting.size() >= mSettings.mQueue) {
    record(mSettings.mName, "request_shed", { { "id", aRequest.mId } });
    if (aConnection != nullptr) {
      aConnection->write(AppAnswer{ "shed", aRequest.mId, 0 }.toLine());
    }
    return;
  }
  mWaiting.push_back({ aConnection, aRequest });
  startNext();
}

void Server::startNext()
{
  while (!mWaiting.empty() && mRunning < bearable()) {
    const Job job = mWaiting.front();
    mWaiting.pop_front();
    ++mRunning;
    record(mSettings.mName,
           "request_started",
           { { "id", job.mRequest.mId },
             { "kind", job.mRequest.mKind },
             { "running", std::to_string(mRunning) } });
    LwipStack::after(job.mRequest.mWorkMs, [this, job] { finish(job); });
  }
}

void Server::finish(const Job& aJob)
{
  --mRunning;
  if (aJob.mRequest.mKind == "save") {
    record(mSettings.mName, "saved", { { "id", aJob.mRequest.mId } });
  }
  const std::string body = bodyOf(aJob.mRequest.mId, aJob.mRequest.mSize);
  record(mSettings.mName,
         "request_finished",
         { { "id", aJob.mRequest.mId }, { "digest", digestOf(body) } });
  if (aJob.mConnection != nullptr) {
    aJob.mConnection->write(AppAnswer{ "ok", aJob.mRequest.mId, aJob.mRequest.mSize }.toLine() +
                            body);
  }
  startNext();
}

} // namespace cornelcross::fakes
