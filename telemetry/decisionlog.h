#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

enum class LogFormat {
    Text, ///< `time=... level=info event=route database=coats passed_over=[coats-2,coats-3]`
    Json, ///< One JSON object per line with the same names.
};

struct LogOptions
{
    LogFormat format = LogFormat::Text;
    LogLevel level = LogLevel::Info; ///< Lines below this level are not written.
    std::string output = "stdout"; ///< "stdout", "stderr" or the path of a file, which is appended to.
    std::string daemon; ///< Written as the field `daemon` of every line if not empty.
    double linesPerSecond = 50; ///< Rate limit per event type, with a burst of one second.
    std::size_t queueLines = 8'192; ///< Lines that may wait for the output; further lines are suppressed.
    std::chrono::milliseconds reportInterval{1'000}; ///< Interval between reports of suppressed lines.
};

/// Structured log of decisions: one line per decision with its reason and the alternatives. Callers never wait for the
/// output; a thread of the log writes the lines. Lines above the rate limit of their event type, or beyond the capacity
/// of the queue, are suppressed: they are counted and reported by a line with the event `suppressed` and the fields
/// `of` and `lines`. Workspace keys that reach a value by mistake are masked. Thread-safe.
class DecisionLog
{
public:
    class Line;

    /// Throws core::Error(InvalidSetting) if the file cannot be opened.
    explicit DecisionLog(LogOptions options);

    /// Writes the queued lines.
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// Starts a line, which is queued when the returned object is destroyed. A suppressed line costs no formatting.
    Line line(std::string_view event, LogLevel level = LogLevel::Info);

    /// Waits until all lines queued before this call are written, including reports of suppressed lines.
    void flush();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// A line under construction. Must not outlive its log. Values longer than 512 bytes are truncated.
class DecisionLog::Line
{
public:
    Line(Line &&other) noexcept;
    Line &operator=(Line &&) = delete;
    ~Line();

    Line &field(std::string_view name, std::string_view value);
    Line &field(std::string_view name, const char *value);
    Line &field(std::string_view name, bool value);
    Line &field(std::string_view name, double value);

    template<std::integral Integer>
    Line &field(std::string_view name, Integer value)
    {
        return this->integerField(name, static_cast<std::int64_t>(value));
    }

    Line &list(std::string_view name, std::span<const std::string> values);
    Line &list(std::string_view name, std::initializer_list<std::string_view> values);

    /// False if the line is suppressed or below the log level, so that costly fields can be skipped.
    bool isActive() const;

private:
    friend class DecisionLog;
    Line(Impl *log, void *eventType);
    Line &integerField(std::string_view name, std::int64_t value);
    template<typename Values>
    Line &appendList(std::string_view name, const Values &values);

    Impl *log = nullptr; ///< Null if the line is not written.
    void *eventType = nullptr;
    LogLevel level = LogLevel::Info;
    std::string text;
};

/// Level named "debug", "info", "warning" or "error". Throws core::Error(InvalidSetting) for any other text.
LogLevel logLevelFromName(std::string_view name);

/// Format named "text" or "json". Throws core::Error(InvalidSetting) for any other text.
LogFormat logFormatFromName(std::string_view name);

}
