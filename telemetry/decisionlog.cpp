#include "telemetry/decisionlog.h"

#include "core/error.h"
#include "telemetry/eventlimiter.h"
#include "telemetry/lineformat.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

namespace endiveshore::telemetry {

namespace {

struct LevelInfo
{
    LogLevel level;
    std::string_view name;
    log4cplus::LogLevel log4cplusLevel;
};

constexpr std::array Levels{
    LevelInfo{LogLevel::Debug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    LevelInfo{LogLevel::Info, "info", log4cplus::INFO_LOG_LEVEL},
    LevelInfo{LogLevel::Warning, "warning", log4cplus::WARN_LOG_LEVEL},
    LevelInfo{LogLevel::Error, "error", log4cplus::ERROR_LOG_LEVEL},
};

const LevelInfo &levelInfo(LogLevel level)
{
    return Levels[static_cast<std::size_t>(level)];
}

log4cplus::SharedAppenderPtr openAppender(const std::string &output)
{
    log4cplus::SharedAppenderPtr appender;
    if (output == "stdout" || output == "stderr") {
        appender = new log4cplus::ConsoleAppender(output == "stderr", true);
    } else {
        // log4cplus reports a file that cannot be opened on stderr only.
        if (!std::ofstream(output, std::ios::app)) {
            throw core::Error(core::ResultCode::InvalidSetting, "the log file cannot be opened: " + output);
        }
        appender = new log4cplus::FileAppender(output, std::ios::app);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

/// Creates a separate logger for each DecisionLog, so that the logs of one process do not share outputs.
log4cplus::Logger openLogger(const LogOptions &options)
{
    // log4cplus cannot be initialised again after its shutdown, so it stays initialised until the process ends.
    static const log4cplus::Initializer initializer;
    static std::atomic<unsigned> counter{0};
    log4cplus::Logger logger = log4cplus::Logger::getInstance("endiveshore." + std::to_string(counter++));
    logger.setAdditivity(false);
    logger.setLogLevel(levelInfo(options.level).log4cplusLevel);
    logger.addAppender(openAppender(options.output));
    return logger;
}

}

struct DecisionLog::Impl
{
    struct QueuedLine
    {
        log4cplus::LogLevel level;
        std::string text;
    };

    explicit Impl(LogOptions givenOptions)
        : options(std::move(givenOptions))
        , logger(openLogger(this->options))
        , writer([this] { this->writeLoop(); })
    {
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        this->writer.join();
        this->logger.removeAllAppenders();
    }

    std::string startText(std::string_view event, LogLevel level) const
    {
        const LogFormat format = this->options.format;
        std::string text;
        beginLine(text, format);
        appendName(text, format, "time");
        appendText(text, format, formatTime(std::chrono::system_clock::now()));
        appendName(text, format, "level");
        appendText(text, format, levelInfo(level).name);
        appendName(text, format, "event");
        appendText(text, format, event);
        if (!this->options.daemon.empty()) {
            appendName(text, format, "daemon");
            appendText(text, format, this->options.daemon);
        }
        return text;
    }

    /// Returns false if the queue is full.
    bool push(QueuedLine line)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->queue.size() >= this->options.queueLines) {
                return false;
            }
            this->queue.push_back(std::move(line));
        }
        this->wake.notify_one();
        return true;
    }

    void writeSuppressed()
    {
        this->eventTypes.forEach([this](EventType &type) {
            const std::uint64_t lines = type.takeSuppressed();
            if (lines == 0) {
                return;
            }
            const LogFormat format = this->options.format;
            std::string text = this->startText("suppressed", LogLevel::Warning);
            appendName(text, format, "of");
            appendText(text, format, type.name);
            appendName(text, format, "lines");
            appendRaw(text, std::to_string(lines));
            endLine(text, format);
            this->logger.log(log4cplus::WARN_LOG_LEVEL, text);
        });
    }

    void writeLoop()
    {
        core::TimePoint nextReport = core::Clock::now() + this->options.reportInterval;
        std::unique_lock lock(this->mutex);
        bool finalRound = false;
        while (!finalRound) {
            this->wake.wait_until(lock, nextReport, [this] {
                return this->stopping || !this->queue.empty() || this->flushesCompleted < this->flushesRequested;
            });
            finalRound = this->stopping;
            const std::uint64_t flushes = this->flushesRequested;
            const bool report = finalRound || flushes > this->flushesCompleted || core::Clock::now() >= nextReport;
            std::vector<QueuedLine> lines;
            lines.swap(this->queue);
            // Writing may block; callers must be able to queue further lines meanwhile.
            lock.unlock();
            for (const QueuedLine &line : lines) {
                this->logger.log(line.level, line.text);
            }
            if (report) {
                this->writeSuppressed();
                nextReport = core::Clock::now() + this->options.reportInterval;
            }
            lock.lock();
            this->flushesCompleted = flushes;
            this->flushed.notify_all();
        }
    }

    const LogOptions options;
    log4cplus::Logger logger;
    EventTypeTable eventTypes;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable flushed;
    std::vector<QueuedLine> queue; ///< Guarded by mutex, as are the members below.
    std::uint64_t flushesRequested = 0;
    std::uint64_t flushesCompleted = 0;
    bool stopping = false;
    std::thread writer; ///< Last member, so that the thread starts after all other members are constructed.
};

DecisionLog::DecisionLog(LogOptions options)
    : impl(std::make_unique<Impl>(std::move(options)))
{
}

DecisionLog::~DecisionLog() = default;

DecisionLog::Line DecisionLog::line(std::string_view event, LogLevel level)
{
    Impl &log = *this->impl;
    if (level < log.options.level) {
        return {nullptr, nullptr};
    }
    EventType &type = log.eventTypes.find(event);
    if (!type.admit(core::Clock::now(), log.options.linesPerSecond)) {
        type.countSuppressed();
        return {nullptr, nullptr};
    }
    Line line(&log, &type);
    line.level = level;
    line.text = log.startText(event, level);
    return line;
}

void DecisionLog::flush()
{
    Impl &log = *this->impl;
    std::unique_lock lock(log.mutex);
    const std::uint64_t wanted = ++log.flushesRequested;
    log.wake.notify_all();
    log.flushed.wait(lock, [&] { return log.flushesCompleted >= wanted; });
}

DecisionLog::Line::Line(Impl *log, void *eventType)
    : log(log)
    , eventType(eventType)
{
}

DecisionLog::Line::Line(Line &&other) noexcept
    : log(std::exchange(other.log, nullptr))
    , eventType(other.eventType)
    , level(other.level)
    , text(std::move(other.text))
{
}

DecisionLog::Line::~Line()
{
    if (this->log == nullptr) {
        return;
    }
    endLine(this->text, this->log->options.format);
    if (!this->log->push({.level = levelInfo(this->level).log4cplusLevel, .text = std::move(this->text)})) {
        static_cast<EventType *>(this->eventType)->countSuppressed();
    }
}

DecisionLog::Line &DecisionLog::Line::field(std::string_view name, std::string_view value)
{
    if (this->log != nullptr) {
        appendName(this->text, this->log->options.format, name);
        appendText(this->text, this->log->options.format, value);
    }
    return *this;
}

DecisionLog::Line &DecisionLog::Line::field(std::string_view name, const char *value)
{
    return this->field(name, std::string_view(value));
}

DecisionLog::Line &DecisionLog::Line::field(std::string_view name, bool value)
{
    if (this->log != nullptr) {
        appendName(this->text, this->log->options.format, name);
        appendRaw(this->text, value ? "true" : "false");
    }
    return *this;
}

DecisionLog::Line &DecisionLog::Line::field(std::string_view name, double value)
{
    if (this->log != nullptr) {
        std::ostringstream stream;
        stream << value;
        // JSON has no notation for infinity and NaN.
        if (!std::isfinite(value)) {
            return this->field(name, std::string_view(stream.str()));
        }
        appendName(this->text, this->log->options.format, name);
        appendRaw(this->text, stream.str());
    }
    return *this;
}

DecisionLog::Line &DecisionLog::Line::integerField(std::string_view name, std::int64_t value)
{
    if (this->log != nullptr) {
        appendName(this->text, this->log->options.format, name);
        appendRaw(this->text, std::to_string(value));
    }
    return *this;
}

DecisionLog::Line &DecisionLog::Line::list(std::string_view name, std::span<const std::string> values)
{
    return this->appendList(name, values);
}

DecisionLog::Line &DecisionLog::Line::list(std::string_view name, std::initializer_list<std::string_view> values)
{
    return this->appendList(name, values);
}

template<typename Values>
DecisionLog::Line &DecisionLog::Line::appendList(std::string_view name, const Values &values)
{
    if (this->log == nullptr) {
        return *this;
    }
    const LogFormat format = this->log->options.format;
    appendName(this->text, format, name);
    this->text.push_back('[');
    bool first = true;
    for (const std::string_view value : values) {
        appendRaw(this->text, first ? "" : ",");
        appendText(this->text, format, value);
        first = false;
    }
    this->text.push_back(']');
    return *this;
}

bool DecisionLog::Line::isActive() const
{
    return this->log != nullptr;
}

LogLevel logLevelFromName(std::string_view name)
{
    for (const LevelInfo &info : Levels) {
        if (info.name == name) {
            return info.level;
        }
    }
    throw core::Error(core::ResultCode::InvalidSetting, "unknown log level: " + std::string(name));
}

LogFormat logFormatFromName(std::string_view name)
{
    if (name == "text") {
        return LogFormat::Text;
    }
    if (name == "json") {
        return LogFormat::Json;
    }
    throw core::Error(core::ResultCode::InvalidSetting, "unknown log format: " + std::string(name));
}

}
