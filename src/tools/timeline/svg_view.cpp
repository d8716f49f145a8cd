#include "tools/timeline/svg_view.hpp"

#include "tools/timeline/text_view.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace cornelcross::tools::timeline {

namespace {

constexpr int kPlotWidth = 1200;  // pixels
constexpr int kNameWidth = 200;   // pixels
constexpr int kLaneHeight = 22;   // pixels
constexpr int kLegendHeight = 18; // pixels for each row
constexpr int kLegendColumns = 6;
constexpr int kMargin = 30; // pixels
constexpr int kTicks = 10;
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

/// Events that share a mark.
struct Mark
{
  std::size_t mCount = 0;
  const LogEvent* mFirst = nullptr;
};

class Picture
{
public:
  explicit Picture(const std::vector<LogEvent>& aEvents)
  {
    for (const LogEvent& event : aEvents) {
      mLanes.emplace(event.mProcess, 0);
      mKinds.emplace(event.mKind, 0);
    }
    number(mLanes);
    number(mKinds);
    mStart = aEvents.empty() ? 0 : aEvents.front().mTime;
    mSpan = aEvents.empty() ? 1 : std::max<std::int64_t>(aEvents.back().mTime - mStart, 1);
    for (const LogEvent& event : aEvents) {
      Mark& mark = mMarks[{ mLanes[event.mProcess], mKinds[event.mKind], column(event.mTime) }];
      mark.mFirst = mark.mCount++ == 0 ? &event : mark.mFirst;
    }
  }

  std::string draw()
  {
    const int rows = (static_cast<int>(mKinds.size()) + kLegendColumns - 1) / kLegendColumns;
    const int plotBottom = kMargin + static_cast<int>(mLanes.size()) * kLaneHeight;
    const int height = plotBottom + kMargin + rows * kLegendHeight;
    mOut << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")"
         << kNameWidth + kPlotWidth + kMargin << R"(" height=")" << height
         << R"(" font-family="sans-serif" font-size="11">)" << '\n'
         << R"(<rect width="100%" height="100%" fill="white"/>)" << '\n';
    drawTicks(plotBottom);
    drawLanes();
    drawMarks();
    drawLegend(plotBottom + kMargin);
    mOut << "</svg>\n";
    return mOut.str();
  }

private:
  static void number(std::map<std::string, int>& aNames)
  {
    int next = 0;
    for (auto& [name, index] : aNames) {
      index = next++;
    }
  }

  int column(std::int64_t aTime) const
  {
    return static_cast<int>(static_cast<double>(aTime - mStart) / static_cast<double>(mSpan) *
                            kPlotWidth);
  }

  static int laneMiddle(int aLane) { return kMargin + aLane * kLaneHeight + kLaneHeight / 2; }

  static const char* colourOf(int aKind)
  {
    return kColours[static_cast<std::size_t>(aKind) % kColours.size()];
  }

  void drawText(int aX, int aY, const std::string& aText)
  {
    mOut << R"(<text x=")" << aX << R"(" y=")" << aY << R"(">)" << escape(aText) << "</text>\n";
  }

  void drawTicks(int aBottom)
  {
    for (int i = 0; i <= kTicks; ++i) {
      const int x = kNameWidth + kPlotWidth * i / kTicks;
      std::ostringstream label;
      label.precision(3);
      label << std::fixed << static_cast<double>(mSpan) * i / kTicks / 1e6 << " s";
      mOut << R"(<path d="M)" << x << ' ' << kMargin << 'V' << aBottom << R"(" stroke="#ddd"/>)"
           << '\n';
      drawText(x - kMargin / 2, kMargin - 10, label.str());
    }
  }

  void drawLanes()
  {
    for (const auto& [name, lane] : mLanes) {
      const int y = laneMiddle(lane);
      drawText(4, y + 4, name);
      mOut << R"(<path d="M)" << kNameWidth << ' ' << y << 'h' << kPlotWidth
           << R"(" stroke="#aaa"/>)" << '\n';
    }
  }

  void drawMarks()
  {
    for (const auto& [place, mark] : mMarks) {
      const auto& [lane, kind, x] = place;
      std::string title = toText(*mark.mFirst, mStart);
      title += mark.mCount > 1 ? " (+" + std::to_string(mark.mCount - 1) + " more)" : "";
      mOut << R"(<circle cx=")" << kNameWidth + x << R"(" cy=")" << laneMiddle(lane)
           << R"(" r="4" fill=")" << colourOf(kind) << R"(" fill-opacity="0.8"><title>)"
           << escape(title) << "</title></circle>\n";
    }
  }

  void drawLegend(int aTop)
  {
    const int width = (kNameWidth + kPlotWidth) / kLegendColumns;
    for (const auto& [name, kind] : mKinds) {
      const int x = 10 + kind % kLegendColumns * width;
      const int y = aTop + kind / kLegendColumns * kLegendHeight;
      mOut << R"(<circle cx=")" << x << R"(" cy=")" << y - 4 << R"(" r="4" fill=")"
           << colourOf(kind) << R"("/>)" << '\n';
      drawText(x + 8, y, name);
    }
  }

  std::map<std::string, int> mLanes;
  std::map<std::string, int> mKinds;
  std::map<std::tuple<int, int, int>, Mark> mMarks;
  std::int64_t mStart = 0;
  std::int64_t mSpan = 1;
  std::ostringstream mOut;
};

} // namespace

std::string toSvg(const std::vector<LogEvent>& aEvents)
{
  return Picture(aEvents).draw();
}

} // namespace cornelcross::tools::timeline
