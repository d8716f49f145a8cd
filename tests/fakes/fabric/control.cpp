#include "fakes/fabric/control.hpp"

#include <sstream>

namespace cornelcross::fakes {

namespace {

bool useBalancers(Relay& aRelay, std::istream& aWords)
{
  std::vector<flow::Endpoint> balancers;
  std::string list;
  aWords >> list;
  std::istringstream items(list);
  for (std::string item; std::getline(items, item, ',');) {
    const auto endpoint = flow::Endpoint::parse(item);
    if (!endpoint) {
      return false;
    }
    balancers.push_back(*endpoint);
  }
  aRelay.useBalancers(std::move(balancers));
  return true;
}

bool addNode(Relay& aRelay, std::istream& aWords)
{
  std::string name;
  std::string advertised;
  std::string real;
  aWords >> name >> advertised >> real;
  const auto at = flow::Endpoint::parse(advertised);
  const auto to = flow::Endpoint::parse(real);
  if (!at || !to) {
    return false;
  }
  aRelay.addNode({ name, *at, *to });
  return true;
}

bool readQuality(std::istream& aWords, LinkQuality& aQuality)
{
  return static_cast<bool>(aWords >> aQuality.mLoss >> aQuality.mDuplicate >> aQuality.mDelayMs >>
                           aQuality.mJitterMs);
}

bool changeLink(Relay& aRelay, const std::string& aVerb, std::istream& aWords)
{
  std::string fromText;
  std::string toText;
  aWords >> fromText >> toText;
  const auto from = flow::Ipv4Address::parse(fromText);
  const auto to = flow::Ipv4Address::parse(toText);
  LinkQuality quality;
  if (!from || !to || (aVerb == "link" && !readQuality(aWords, quality))) {
    return false;
  }
  if (aVerb == "link") {
    aRelay.links().set(*from, *to, quality);
  } else if (aVerb == "cut") {
    aRelay.links().cut(*from, *to);
  } else if (aVerb == "heal") {
    aRelay.links().heal(*from, *to);
  } else if (aVerb == "forget") {
    aRelay.links().forget(*from, *to);
  } else {
    return false;
  }
  return true;
}

} // namespace

bool controlRelay(Relay& aRelay, const std::string& aLine)
{
  std::istringstream words(aLine);
  std::string verb;
  words >> verb;
  if (verb == "balancers") {
    return useBalancers(aRelay, words);
  }
  if (verb == "forget_flows") {
    aRelay.forgetFlows();
    return true;
  }
  if (verb == "node") {
    return addNode(aRelay, words);
  }
  if (verb == "default") {
    LinkQuality quality;
    const bool isValid = readQuality(words, quality);
    aRelay.links().setDefault(quality);
    return isValid;
  }
  return changeLink(aRelay, verb, words);
}

} // namespace cornelcross::fakes
