#include "tools/timeline/svg_view.hpp"

#include "tools/timeline/text_view.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace cornelcross::tools::timeline {

namespace {

constexpr int kPlotWidthPx = 1200;
constexpr int kNameWidthPx = 200;
constexpr int kLaneHeightPx = 22;
constexpr int kLegendRowHeightPx = 18;
constexpr int kLegendColumns = 6;
constexpr int kMarginPx = 30;
constexpr int kTickCount = 10;
constexpr std::array kColours = {
  "#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22",
  "#17becf", "#393b79", "#ad494a", "#637939", "#e7969c", "#7b4173", "#3182bd", "#e6550d", "#31a354"
};

std::string escape(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
  }
  return escaped;
}

/// Mark for all events of one lane, kind and pixel column.
struct Mark
{
  std::size_t mCount = 0;
  const LogEvent* mFirst = nullptr;
};

/// SVG picture of a list of events.
class Picture
{
public:
  explicit Picture(const std::vector<LogEvent>& aEvents)
  {
    for (const LogEvent& event : aEvents) {
      mLanes.emplace(event.mProcess, 0);
      mKinds.emplace(event.mKind, 0);
    }
    assignIndices(mLanes);
    assignIndices(mKinds);
    mStartUs = aEvents.empty() ? 0 : aEvents.front().mTimeUs;
    mSpanUs = aEvents.empty() ? 1 : std::max<std::int64_t>(aEvents.back().mTimeUs - mStartUs, 1);
    for (const LogEvent& event : aEvents) {
      Mark& mark = mMarks[{ mLanes[event.mProcess], mKinds[event.mKind], column(event.mTimeUs) }];
      mark.mFirst = mark.mCount++ == 0 ? &event : mark.mFirst;
    }
  }

  std::string draw()
  {
    const int rows = (static_cast<int>(mKinds.size()) + kLegendColumns - 1) / kLegendColumns;
    const int plotBottom = kMarginPx + static_cast<int>(mLanes.size()) * kLaneHeightPx;
    const int height = plotBottom + kMarginPx + rows * kLegendRowHeightPx;
    mOut << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")"
         << kNameWidthPx + kPlotWidthPx + kMarginPx << R"(" height=")" << height
         << R"(" font-family="sans-serif" font-size="11">)" << '\n'
         << R"(<rect width="100%" height="100%" fill="white"/>)" << '\n';
    drawTicks(plotBottom);
    drawLanes();
    drawMarks();
    drawLegend(plotBottom + kMarginPx);
    mOut << "</svg>\n";
    return mOut.str();
  }

private:
  static void assignIndices(std::map<std::string, int>& aNames)
  {
    int next = 0;
    for (auto& [name, index] : aNames) {
      index = next++;
    }
  }

  int column(std::int64_t aTimeUs) const
  {
    return static_cast<int>(static_cast<double>(aTimeUs - mStartUs) / static_cast<double>(mSpanUs) *
                            kPlotWidthPx);
  }

  static int laneMiddle(int aLane) { return kMarginPx + aLane * kLaneHeightPx + kLaneHeightPx / 2; }

  static const char* colourFor(int aKind)
  {
    return kColours[static_cast<std::size_t>(aKind) % kColours.size()];
  }

  void drawText(int aX, int aY, const std::string& aText)
  {
    mOut << R"(<text x=")" << aX << R"(" y=")" << aY << R"(">)" << escape(aText) << "</text>\n";
  }

  void drawTicks(int aBottom)
  {
    for (int i = 0; i <= kTickCount; ++i) {
      const int x = kNameWidthPx + kPlotWidthPx * i / kTickCount;
      std::ostringstream label;
      label.precision(3);
      label << std::fixed << static_cast<double>(mSpanUs) * i / kTickCount / 1e6 << " s";
      mOut << R"(<path d="M)" << x << ' ' << kMarginPx << 'V' << aBottom << R"(" stroke="#ddd"/>)"
           << '\n';
      drawText(x - kMarginPx / 2, kMarginPx - 10, label.str());
    }
  }

  void drawLanes()
  {
    for (const auto& [name, lane] : mLanes) {
      const int y = laneMiddle(lane);
      drawText(4, y + 4, name);
      mOut << R"(<path d="M)" << kNameWidthPx << ' ' << y << 'h' << kPlotWidthPx
           << R"(" stroke="#aaa"/>)" << '\n';
    }
  }

  void drawMarks()
  {
    for (const auto& [position, mark] : mMarks) {
      const auto& [lane, kind, x] = position;
      std::string title = toText(*mark.mFirst, mStartUs);
      title += mark.mCount > 1 ? " (+" + std::to_string(mark.mCount - 1) + " more)" : "";
      mOut << R"(<circle cx=")" << kNameWidthPx + x << R"(" cy=")" << laneMiddle(lane)
           << R"(" r="4" fill=")" << colourFor(kind) << R"(" fill-opacity="0.8"><title>)"
           << escape(title) << "</title></circle>\n";
    }
  }

  void drawLegend(int aTop)
  {
    const int width = (kNameWidthPx + kPlotWidthPx) / kLegendColumns;
    for (const auto& [name, kind] : mKinds) {
      const int x = 10 + kind % kLegendColumns * width;
      const int y = aTop + kind / kLegendColumns * kLegendRowHeightPx;
      mOut << R"(<circle cx=")" << x << R"(" cy=")" << y - 4 << R"(" r="4" fill=")"
           << colourFor(kind) << R"("/>)" << '\n';
      drawText(x + 8, y, name);
    }
  }

  std::map<std::string, int> mLanes;
  std::map<std::string, int> mKinds;
  std::map<std::tuple<int, int, int>, Mark> mMarks;
  std::int64_t mStartUs = 0;
  std::int64_t mSpanUs = 1;
  std::ostringstream mOut;
};

} // namespace

std::string toSvg(const std::vector<LogEvent>& aEvents)
{
  return Picture(aEvents).draw();
}

} // namespace cornelcross::tools::timeline
