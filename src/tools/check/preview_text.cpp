#include "tools/check/describe.hpp"
#include "tools/check/preview.hpp"
#include "tools/check/printable.hpp"

#include <cstdio>
#include <set>

namespace cornelcross::tools::check {

namespace {

std::string formatPercent(double aShare)
{
  char text[16];
  std::snprintf(text, sizeof(text), "%.2f%%", aShare * 100);
  return text;
}

double findShare(const std::map<std::string, double>& aShares, const std::string& aUpstream)
{
  const auto found = aShares.find(aUpstream);
  return found == aShares.end() ? 0 : found->second;
}

void appendNames(std::string& aText,
                 const std::string& aChange,
                 const std::string& aKey,
                 const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    aText.append("change=").append(aChange).append(" ").append(aKey).append("=").append(
      printable(name));
    aText += '\n';
  }
}

void appendDocuments(std::string& aText,
                     const std::string& aKind,
                     const std::vector<DocumentChange>& aChanges)
{
  for (const DocumentChange& change : aChanges) {
    const bool isAdded = change.mBefore == kUnlisted;
    const bool isRemoved = change.mAfter == kUnlisted;
    aText += "change=" + aKind +
             (isAdded     ? "_added"
              : isRemoved ? "_removed"
                          : "_changed") +
             " address=" + change.mAddress.toString() + " before=\"" + printable(change.mBefore) +
             "\" after=\"" + printable(change.mAfter) + "\"\n";
  }
}

void appendService(std::string& aText, const ServiceChange& aChange)
{
  aText += "new_flows service=" + printable(aChange.mService) +
           " moved=" + formatPercent(aChange.mMovedShare) + "\n";
  std::set<std::string> names;
  for (const auto* shares : { &aChange.mSharesBefore, &aChange.mSharesAfter }) {
    for (const auto& [name, share] : *shares) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    aText += "share service=" + printable(aChange.mService) +
             " upstream=" + (name.empty() ? "none" : printable(name)) +
             " before=" + formatPercent(findShare(aChange.mSharesBefore, name)) +
             " after=" + formatPercent(findShare(aChange.mSharesAfter, name)) + "\n";
  }
}

} // namespace

std::string toText(const Preview& aPreview)
{
  if (aPreview.isEmpty()) {
    return "no_change\n";
  }
  std::string text;
  appendNames(text, "service_added", "service", aPreview.mAddedServices);
  appendNames(text, "service_removed", "service", aPreview.mRemovedServices);
  appendNames(text, "service_address", "service", aPreview.mReaddressedServices);
  appendNames(text, "zone_out", "zone", aPreview.mZonesOut);
  appendNames(text, "zone_in", "zone", aPreview.mZonesIn);
  appendDocuments(text, "address", aPreview.mAddresses);
  appendDocuments(text, "requests", aPreview.mRequests);
  text += aPreview.mHasWorkspaceChange ? "change=workspaces\n" : "";
  for (const UpstreamChange& change : aPreview.mUpstreams) {
    text += "change=upstream_" + std::string(toString(change.mEffect)) +
            " service=" + printable(change.mService) + " upstream=" + printable(change.mUpstream) +
            " before=\"" + printable(change.mBefore) + "\" after=\"" + printable(change.mAfter) +
            "\"\n";
  }
  for (const ServiceChange& change : aPreview.mServices) {
    appendService(text, change);
  }
  return text;
}

} // namespace cornelcross::tools::check
