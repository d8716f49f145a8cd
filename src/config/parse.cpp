#include "config/parse.hpp"

#include "config/document_key.hpp"
#include "config/json_reader.hpp"

namespace cornelcross::config {

namespace {

constexpr std::uint32_t kMaxSlots = 100000;
constexpr std::uint32_t kMaxWeight = 1000;
constexpr std::uint32_t kMaxColdStartMs = 86400000;
constexpr std::uint32_t kMaxColdStartFlowsPerSecond = 1000000;

Upstream readUpstream(JsonReader& aReader,
                      const std::string& aService,
                      const nlohmann::json& aValue,
                      const std::string& aPath)
{
  Upstream upstream;
  if (!aReader.checkMembers(
        aValue,
        aPath,
        { "name", "agent", "address", "zone", "slots", "weight", "state", "started_at_ms" })) {
    return upstream;
  }
  upstream.mName = aReader.readString(aValue, aPath, "name");
  upstream.mAgent = aReader.readEndpoint(aValue, aPath, "agent");
  upstream.mAddress = aReader.readEndpoint(aValue, aPath, "address");
  upstream.mZone = aReader.readString(aValue, aPath, "zone");
  upstream.mSlots = aReader.readInteger(aValue, aPath, "slots", 1, kMaxSlots, std::nullopt);
  upstream.mWeight = aReader.readInteger(aValue, aPath, "weight", 1, kMaxWeight, 1);
  const auto state = parseUpstreamState(aReader.readString(aValue, aPath, "state"));
  if (!state) {
    aReader.addError(aPath + ".state", "\"joining\", \"serving\" or \"leaving\"");
  }
  upstream.mState = state.value_or(UpstreamState::kLeaving);
  upstream.mStartedAtMs = aReader.readUint64(aValue, aPath, "started_at_ms");
  upstream.mIdentity = upstreamIdentity(aService, upstream.mName);
  return upstream;
}

ColdStart readColdStart(JsonReader& aReader, const nlohmann::json& aValue, const std::string& aPath)
{
  ColdStart cold;
  if (aReader.checkMembers(aValue, aPath, { "milliseconds", "flows_per_second" })) {
    cold.mDurationMs =
      aReader.readInteger(aValue, aPath, "milliseconds", 0, kMaxColdStartMs, std::nullopt);
    cold.mMaxNewFlowsPerSecond = aReader.readInteger(
      aValue, aPath, "flows_per_second", 1, kMaxColdStartFlowsPerSecond, std::nullopt);
  }
  return cold;
}

void checkUniqueness(JsonReader& aReader, const Service& aService, const std::string& aPath)
{
  std::set<std::string> names;
  std::set<flow::Endpoint> endpoints;
  for (std::size_t i = 0; i < aService.mUpstreams.size(); ++i) {
    const Upstream& upstream = aService.mUpstreams[i];
    const std::string path = aPath + ".upstreams[" + std::to_string(i) + "]";
    if (!names.insert(upstream.mName).second) {
      aReader.addError(path + ".name", "a name that is unique in the service");
    }
    if (!endpoints.insert(upstream.mAgent).second) {
      aReader.addError(path + ".agent", "an endpoint that is used once in the service");
    }
    if (!endpoints.insert(upstream.mAddress).second) {
      aReader.addError(path + ".address", "an endpoint that is used once in the service");
    }
  }
}

template<class T>
ParseResult<T> toResult(const JsonReader& aReader, T aValue)
{
  if (!aReader.errors().empty()) {
    return aReader.errors();
  }
  return aValue;
}

} // namespace

ParseResult<Service> parseService(const std::string& aName, const std::string& aText)
{
  const std::string path = serviceKey(aName);
  JsonReader reader;
  Service service;
  service.mName = aName;
  const auto value = reader.parse(path, aText);
  if (reader.checkMembers(value, path, { "address", "upstreams", "cold_start" })) {
    if (value.contains("address")) {
      service.mAddress = reader.readEndpoint(value, path, "address");
    }
    if (value.contains("cold_start")) {
      service.mColdStart = readColdStart(reader, value.at("cold_start"), path + ".cold_start");
    }
    reader.forEach(value, path, "upstreams", [&](const auto& aElement, const auto& aPath) {
      service.mUpstreams.push_back(readUpstream(reader, aName, aElement, aPath));
    });
  }
  if (reader.errors().empty()) {
    checkUniqueness(reader, service, path);
  }
  return toResult(reader, std::move(service));
}

ParseResult<AddressRoute> parseAddress(const std::string& aAddress, const std::string& aText)
{
  const std::string path = std::string(kAddressPrefix) + aAddress;
  JsonReader reader;
  AddressRoute route;
  const auto address = flow::Endpoint::parse(aAddress);
  if (!address) {
    reader.addError(path, "a key with an IPv4 address and port as \"address/a.b.c.d:port\"");
  }
  route.mAddress = address.value_or(flow::Endpoint{});
  std::set<std::string> names;
  const auto value = reader.parse(path, aText);
  if (reader.checkMembers(value, path, { "services" })) {
    reader.forEach(value, path, "services", [&](const auto& aElement, const auto& aPath) {
      if (!reader.checkMembers(aElement, aPath, { "service", "weight" })) {
        return;
      }
      ServiceShare share;
      share.mService = reader.readString(aElement, aPath, "service");
      share.mWeight = reader.readInteger(aElement, aPath, "weight", 0, kMaxWeight, 1);
      if (!names.insert(share.mService).second) {
        reader.addError(aPath + ".service", "a service that is listed once");
      }
      route.mShares.push_back(std::move(share));
    });
  }
  return toResult(reader, std::move(route));
}

ParseResult<AddressRequests> parseRequests(const std::string& aAddress, const std::string& aText)
{
  const std::string path = std::string(kRequestsPrefix) + aAddress;
  JsonReader reader;
  AddressRequests requests;
  const auto address = flow::Endpoint::parse(aAddress);
  if (!address) {
    reader.addError(path, "a key with an IPv4 address and port as \"requests/a.b.c.d:port\"");
  }
  requests.mAddress = address.value_or(flow::Endpoint{});
  const auto value = reader.parse(path, aText);
  if (reader.checkMembers(value, path, { "rank", "objective_ms", "deadline_ms", "repeatable" })) {
    RequestClass& requestClass = requests.mClass;
    requestClass.mRank = reader.readInteger(value, path, "rank", 0, kMaxRank, std::nullopt);
    requestClass.mObjectiveMs =
      reader.readInteger(value, path, "objective_ms", 1, kMaxRequestTimeMs, std::nullopt);
    requestClass.mDeadlineMs =
      reader.readInteger(value, path, "deadline_ms", 1, kMaxRequestTimeMs, std::nullopt);
    const auto repeatable = value.find("repeatable");
    if (repeatable == value.end() || !repeatable->is_boolean()) {
      reader.addError(path + ".repeatable", "true or false");
    } else {
      requestClass.mIsRepeatable = repeatable->get<bool>();
    }
    if (reader.errors().empty() && requestClass.mObjectiveMs > requestClass.mDeadlineMs) {
      reader.addError(path + ".objective_ms", "at most \"deadline_ms\"");
    }
  }
  return toResult(reader, requests);
}

ParseResult<std::vector<AvailabilityZone>> parseZones(const std::string& aText)
{
  JsonReader reader;
  std::vector<AvailabilityZone> zones;
  std::set<std::string> names;
  const auto value = reader.parse("zones", aText);
  if (reader.checkMembers(value, "zones", { "zones" })) {
    reader.forEach(value, "zones", "zones", [&](const auto& aElement, const auto& aPath) {
      if (!reader.checkMembers(aElement, aPath, { "name", "state" })) {
        return;
      }
      const std::string name = reader.readString(aElement, aPath, "name");
      const std::string state = reader.readString(aElement, aPath, "state");
      if (state != "in" && state != "out") {
        reader.addError(aPath + ".state", "\"in\" or \"out\"");
      }
      if (!names.insert(name).second) {
        reader.addError(aPath + ".name", "a name that is listed once");
      }
      zones.push_back({ name, state == "in" });
    });
  }
  return toResult(reader, std::move(zones));
}

ParseResult<std::vector<Workspace>> parseWorkspaces(const std::string& aText)
{
  JsonReader reader;
  std::vector<Workspace> workspaces;
  std::set<std::string> names;
  std::set<Prefix> prefixes;
  const auto value = reader.parse("workspaces", aText);
  if (reader.checkMembers(value, "workspaces", { "workspaces" })) {
    reader.forEach(value, "workspaces", "workspaces", [&](const auto& aElement, const auto& aPath) {
      if (!reader.checkMembers(aElement, aPath, { "name", "prefixes" })) {
        return;
      }
      Workspace workspace{ reader.readString(aElement, aPath, "name"), {} };
      if (!names.insert(workspace.mName).second) {
        reader.addError(aPath + ".name", "a name that is listed once");
      }
      reader.forEach(
        aElement, aPath, "prefixes", [&](const auto& aPrefixElement, const auto& aPrefixPath) {
          const auto prefix = aPrefixElement.is_string()
                                ? Prefix::parse(aPrefixElement.template get<std::string>())
                                : std::nullopt;
          if (!prefix) {
            reader.addError(aPrefixPath, "an IPv4 prefix without host bits as \"a.b.c.d/n\"");
          } else if (!prefixes.insert(*prefix).second) {
            reader.addError(aPrefixPath, "a prefix that belongs to one workspace");
          } else {
            workspace.mPrefixes.push_back(*prefix);
          }
        });
      workspaces.push_back(std::move(workspace));
    });
  }
  return toResult(reader, std::move(workspaces));
}

} // namespace cornelcross::config
