#include "fakes/common/tcp_connection.hpp"

#include <algorithm>
#include <arpa/inet.h>

namespace cornelcross::fakes {

namespace {

flow::Endpoint toEndpoint(const ip_addr_t& aAddress, u16_t aPort)
{
  return { { ntohl(ip_2_ip4(&aAddress)->addr) }, aPort };
}

} // namespace

TcpConnection::TcpConnection(tcp_pcb* aPcb, Hooks aHooks) : mPcb(aPcb), mHooks(std::move(aHooks)) {}

std::shared_ptr<TcpConnection> TcpConnection::accept(tcp_pcb* aPcb, Hooks aHooks)
{
  std::shared_ptr<TcpConnection> connection(new TcpConnection(aPcb, std::move(aHooks)));
  connection->mIsConnected = true;
  connection->attach();
  return connection;
}

std::shared_ptr<TcpConnection> TcpConnection::connect(flow::Ipv4Address aLocal,
                                                      flow::Endpoint aTo,
                                                      Hooks aHooks)
{
  tcp_pcb* pcb = tcp_new();
  if (pcb == nullptr) {
    return nullptr;
  }
  std::shared_ptr<TcpConnection> connection(new TcpConnection(pcb, std::move(aHooks)));
  ip_addr_t local = IPADDR4_INIT(htonl(aLocal.mValue));
  ip_addr_t remote = IPADDR4_INIT(htonl(aTo.mAddress.mValue));
  connection->attach();
  const bool isBound = tcp_bind(pcb, &local, 0) == ERR_OK;
  if (!isBound || tcp_connect(pcb, &remote, aTo.mPort, &TcpConnection::onConnected) != ERR_OK) {
    connection->mHooks = {};
    connection->abort();
    return nullptr;
  }
  connection->mLocal = toEndpoint(pcb->local_ip, pcb->local_port);
  connection->mRemote = aTo;
  return connection;
}

void TcpConnection::attach()
{
  mSelf = shared_from_this();
  mLocal = toEndpoint(mPcb->local_ip, mPcb->local_port);
  mRemote = toEndpoint(mPcb->remote_ip, mPcb->remote_port);
  tcp_arg(mPcb, this);
  tcp_recv(mPcb, &TcpConnection::onReceived);
  tcp_sent(mPcb, &TcpConnection::onSent);
  tcp_err(mPcb, &TcpConnection::onError);
  tcp_nagle_disable(mPcb);
}

flow::Endpoint TcpConnection::local() const
{
  return mLocal;
}

flow::Endpoint TcpConnection::remote() const
{
  return mRemote;
}

void TcpConnection::write(const std::string& aData)
{
  mPending += aData;
  pump();
}

void TcpConnection::close()
{
  mIsDraining = true;
  pump();
}

void TcpConnection::abort()
{
  tcp_pcb* pcb = mPcb;
  const auto keep = std::move(mSelf);
  mPcb = nullptr;
  if (pcb != nullptr) {
    tcp_arg(pcb, nullptr);
    tcp_err(pcb, nullptr);
    tcp_abort(pcb);
  }
}

void TcpConnection::pump()
{
  if (mPcb == nullptr || !mIsConnected) {
    return;
  }
  while (!mPending.empty()) {
    const std::size_t room = std::min<std::size_t>(tcp_sndbuf(mPcb), 0x7FFF);
    const std::size_t size = std::min(room, mPending.size());
    const bool isTaken =
      size > 0 &&
      tcp_write(mPcb, mPending.data(), static_cast<u16_t>(size), TCP_WRITE_FLAG_COPY) == ERR_OK;
    if (!isTaken) {
      break;
    }
    mPending.erase(0, size);
  }
  tcp_output(mPcb);
  if (mIsDraining && mPending.empty()) {
    tcp_pcb* pcb = mPcb;
    const auto keep = std::move(mSelf);
    mPcb = nullptr;
    tcp_arg(pcb, nullptr);
    tcp_recv(pcb, nullptr);
    tcp_sent(pcb, nullptr);
    tcp_err(pcb, nullptr);
    if (tcp_close(pcb) != ERR_OK) {
      tcp_abort(pcb);
    }
  }
}

void TcpConnection::end(TcpEnd aEnd)
{
  const auto keep = shared_from_this();
  if (mHooks.mOnEnd) {
    mHooks.mOnEnd(aEnd);
  }
}

err_t TcpConnection::onConnected(void* aSelf, tcp_pcb*, err_t)
{
  const auto self = static_cast<TcpConnection*>(aSelf)->shared_from_this();
  self->mIsConnected = true;
  if (self->mHooks.mOnConnected) {
    self->mHooks.mOnConnected();
  }
  self->pump();
  return self->mPcb == nullptr ? ERR_ABRT : ERR_OK;
}

err_t TcpConnection::onReceived(void* aSelf, tcp_pcb* aPcb, pbuf* aBuffer, err_t)
{
  if (aSelf == nullptr) {
    if (aBuffer != nullptr) {
      tcp_recved(aPcb, aBuffer->tot_len);
      pbuf_free(aBuffer);
    }
    return ERR_OK;
  }
  const auto self = static_cast<TcpConnection*>(aSelf)->shared_from_this();
  if (aBuffer == nullptr) {
    self->end(TcpEnd::kClosed);
    return ERR_OK;
  }
  std::string data(aBuffer->tot_len, '\0');
  pbuf_copy_partial(aBuffer, data.data(), aBuffer->tot_len, 0);
  tcp_recved(aPcb, aBuffer->tot_len);
  pbuf_free(aBuffer);
  if (self->mHooks.mOnData) {
    self->mHooks.mOnData(data);
  }
  return ERR_OK;
}

err_t TcpConnection::onSent(void* aSelf, tcp_pcb*, u16_t)
{
  if (aSelf != nullptr) {
    static_cast<TcpConnection*>(aSelf)->shared_from_this()->pump();
  }
  return ERR_OK;
}

void TcpConnection::onError(void* aSelf, err_t aError)
{
  if (aSelf == nullptr) {
    return;
  }
  auto self = static_cast<TcpConnection*>(aSelf)->shared_from_this();
  self->mPcb = nullptr;
  self->mSelf.reset();
  if (aError == ERR_RST) {
    self->end(self->mIsConnected ? TcpEnd::kReset : TcpEnd::kRefused);
  } else {
    self->end(TcpEnd::kAborted);
  }
}

} // namespace cornelcross::fakes
