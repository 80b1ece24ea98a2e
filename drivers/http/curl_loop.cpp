#include "drivers/http/curl_loop.hpp"

#include "core/log.hpp"
#include "drivers/http/curl_library.hpp"
#include "drivers/http/head_checker.hpp"
#include "drivers/http/header_names.hpp"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>

namespace pomelohinge {
namespace {

/// Limit on idle connections to all addresses together.
constexpr long max_idle_connections = 512;

/// Connections that were idle for longer are not reused, because middleboxes
/// drop the state of idle connections without closing them.
constexpr long max_idle_seconds = 20;

/// TCP keep-alive of open connections.
constexpr long keep_alive_idle_seconds = 5;
constexpr long keep_alive_interval_seconds = 1;

struct easy_deleter
{
    void operator()(CURL* it) const { curl().easy_cleanup(it); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

struct list_deleter
{
    void operator()(curl_slist* it) const { curl().slist_free_all(it); }
};
using header_list = std::unique_ptr<curl_slist, list_deleter>;

void initialise_curl()
{
    static bool const done = curl().global_init(CURL_GLOBAL_ALL) == CURLE_OK;
    (void)done;
}

} // namespace

http_call make_own_call(std::string url, duration timeout)
{
    http_call call;
    call.url = std::move(url);
    call.timeout = timeout;
    call.own_connection = true;
    return call;
}

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::string_view find_header(
    std::vector<header_field> const& headers, std::string_view name)
{
    auto const it = std::find_if(
        headers.begin(), headers.end(), [&](header_field const& field) {
            return is_same_header(field.name, name);
        });
    return it == headers.end() ? std::string_view() : it->value;
}

std::vector<std::string_view> distinct_values(
    std::vector<header_field> const& headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (auto const& it : headers) {
        auto const value = trimmed(it.value);
        if (is_same_header(it.name, name) &&
            std::find(values.begin(), values.end(), value) == values.end())
            values.push_back(value);
    }
    return values;
}

class curl_loop::detail
{
public:
    explicit detail(asio::io_context& context)
        : context_(context), timer_(context), multi_(curl().multi_init())
    {
        initialise_curl();
        curl().multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl().multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl().multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl().multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl().multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    }

    ~detail()
    {
        for (auto& [id, it] : transfers_)
            curl().multi_remove_handle(multi_, it->easy.get());
        transfers_.clear();
        curl().multi_cleanup(multi_);
    }

    std::uint64_t start(http_call call, callback on_end)
    {
        auto const id = ++last_id_;
        auto it = std::make_unique<transfer>();
        it->id = id;
        it->call = std::move(call);
        it->on_end = std::move(on_end);
        it->deadline = boottime_clock::now() + it->call.timeout;
        auto& added = *transfers_.emplace(id, std::move(it)).first->second;
        begin(added);
        return id;
    }

    void cancel(std::uint64_t id)
    {
        auto const it = transfers_.find(id);
        if (it == transfers_.end())
            return;
        curl().multi_remove_handle(multi_, it->second->easy.get());
        finish(id, http_end::cancelled);
    }

    std::size_t running() const { return transfers_.size(); }

private:
    /// A call that has not ended.
    struct transfer
    {
        std::uint64_t id = 0;
        http_call call;
        callback on_end;
        time_point deadline;
        easy_handle easy;
        header_list headers;
        http_result result;
        head_checker head;
        bool too_large = false;
    };

    /// One of libcurl's sockets and the events that libcurl waits for on it.
    struct socket_waits
    {
        explicit socket_waits(asio::io_context& context) : descriptor(context)
        {
        }

        asio::posix::stream_descriptor descriptor;
        int events = 0;
        bool is_reading = false;
        bool is_writing = false;
    };

    void begin(transfer& it)
    {
        it.easy.reset(curl().easy_init());
        it.result = {};
        it.head = head_checker();
        set_options(it);
        set_body(it);
        curl().multi_add_handle(multi_, it.easy.get());
    }

    void set_options(transfer& it)
    {
        auto* const easy = it.easy.get();
        auto const& call = it.call;
        auto const left = it.deadline - boottime_clock::now();
        curl().easy_setopt(easy, CURLOPT_PRIVATE, &it);
        curl().easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl().easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl().easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl().easy_setopt(easy, CURLOPT_PROXY, "");
        curl().easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl().easy_setopt(easy, CURLOPT_HTTP_VERSION,
            static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl().easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
        curl().easy_setopt(easy, CURLOPT_TIMEOUT_MS,
            std::max<long>(1, static_cast<long>(to_milliseconds(left))));
        curl().easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
            std::max<long>(
                1, static_cast<long>(to_milliseconds(call.connect_timeout))));
        curl().easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl().easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl().easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, keep_alive_idle_seconds);
        curl().easy_setopt(
            easy, CURLOPT_TCP_KEEPINTVL, keep_alive_interval_seconds);
        curl().easy_setopt(easy, CURLOPT_MAXAGE_CONN, max_idle_seconds);
        long const is_own = call.own_connection ? 1 : 0;
        curl().easy_setopt(easy, CURLOPT_FRESH_CONNECT, is_own);
        curl().easy_setopt(easy, CURLOPT_FORBID_REUSE, is_own);
        curl().easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
        curl().easy_setopt(easy, CURLOPT_WRITEDATA, &it);
        curl().easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
        curl().easy_setopt(easy, CURLOPT_HEADERDATA, &it);
    }

    void set_body(transfer& it)
    {
        auto* const easy = it.easy.get();
        auto const& call = it.call;
        curl_slist* list = nullptr;
        for (auto const& field : call.headers)
            list = curl().slist_append(
                list, (field.name + ": " + field.value).c_str());
        // An empty value prevents libcurl from adding this header itself.
        list = curl().slist_append(list, "Expect:");
        bool const has_type =
            !find_header(call.headers, "Content-Type").empty();
        if (!has_type)
            list = curl().slist_append(list, "Content-Type:");
        it.headers.reset(list);
        curl().easy_setopt(easy, CURLOPT_HTTPHEADER, list);
        bool const has_body = !call.body.empty() || call.method == "POST" ||
            call.method == "PUT" || call.method == "PATCH";
        if (has_body) {
            curl().easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
            curl().easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                static_cast<curl_off_t>(call.body.size()));
        }
        if (call.method == "HEAD")
            curl().easy_setopt(easy, CURLOPT_NOBODY, 1L);
        else
            curl().easy_setopt(
                easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }

    void finish(std::uint64_t id, http_end end)
    {
        auto const it = transfers_.find(id);
        auto ended = std::move(it->second);
        transfers_.erase(it);
        ended->result.end = end;
        asio::post(context_,
            [on_end = std::move(ended->on_end),
                result = std::move(ended->result)]() mutable {
                on_end(std::move(result));
            });
    }

    static http_end end_of(transfer const& it, CURLcode code)
    {
        if (code == CURLE_OK)
            return is_complete(it) ? http_end::answered : http_end::lost;
        if (it.too_large)
            return http_end::too_large;
        long sent = 0;
        curl().easy_getinfo(it.easy.get(), CURLINFO_REQUEST_SIZE, &sent);
        if (sent == 0)
            return http_end::not_sent;
        return code == CURLE_OPERATION_TIMEDOUT ? http_end::timed_out
                                                : http_end::lost;
    }

    /// Whether the answer is certainly complete. An answer that has neither a
    /// length nor chunks ends with its connection, so it may be truncated.
    static bool is_complete(transfer const& it)
    {
        auto const& result = it.result;
        if (!it.head.is_complete())
            return false;
        if (it.call.method == "HEAD" ||
            class_of(result.status) == status_class::without_body)
            return true;
        auto const lengths = distinct_values(result.headers, "Content-Length");
        auto const encodings =
            distinct_values(result.headers, "Transfer-Encoding");
        // libcurl ends a chunked answer without its last chunk with an error.
        if (!encodings.empty())
            return lengths.empty() && encodings.size() == 1 &&
                is_same_header(encodings.front(), "chunked");
        return lengths.size() == 1 &&
            lengths.front() == std::to_string(result.body.size());
    }

    void finish_ended()
    {
        int left = 0;
        while (auto* const message = curl().multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            auto* const easy = message->easy_handle;
            auto const code = message->data.result;
            transfer* it = nullptr;
            curl().easy_getinfo(easy, CURLINFO_PRIVATE, &it);
            auto const end = end_of(*it, code);
            curl().multi_remove_handle(multi_, easy);
            finish(it->id, end);
        }
    }

    void process_events(curl_socket_t fd, int events)
    {
        int running = 0;
        curl().multi_socket_action(multi_, fd, events, &running);
        finish_ended();
    }

    void wait_readable(curl_socket_t fd, std::shared_ptr<socket_waits> it)
    {
        if (it->is_reading || !(it->events & CURL_POLL_IN))
            return;
        it->is_reading = true;
        it->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
            [this, fd, it](asio::error_code ec) {
                it->is_reading = false;
                if (ec || !is_current(fd, it))
                    return;
                process_events(fd, CURL_CSELECT_IN);
                if (is_current(fd, it))
                    wait_readable(fd, it);
            });
    }

    void wait_writable(curl_socket_t fd, std::shared_ptr<socket_waits> it)
    {
        if (it->is_writing || !(it->events & CURL_POLL_OUT))
            return;
        it->is_writing = true;
        it->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
            [this, fd, it](asio::error_code ec) {
                it->is_writing = false;
                if (ec || !is_current(fd, it))
                    return;
                process_events(fd, CURL_CSELECT_OUT);
                if (is_current(fd, it))
                    wait_writable(fd, it);
            });
    }

    bool is_current(
        curl_socket_t fd, std::shared_ptr<socket_waits> const& it) const
    {
        auto const found = sockets_.find(fd);
        return found != sockets_.end() && found->second == it;
    }

    void watch(CURL* easy, curl_socket_t fd, int what)
    {
        auto& it = sockets_[fd];
        if (it == nullptr) {
            auto created = std::make_shared<socket_waits>(context_);
            asio::error_code ec;
            created->descriptor.assign(fd, ec);
            if (ec) {
                sockets_.erase(fd);
                return fail_unwatched(easy, ec);
            }
            it = std::move(created);
        }
        it->events = what;
        wait_readable(fd, it);
        wait_writable(fd, it);
    }

    /// Ends a call whose socket cannot be watched. libcurl must not be called
    /// from its own callback, so the call ends later.
    void fail_unwatched(CURL* easy, asio::error_code ec)
    {
        transfer* it = nullptr;
        curl().easy_getinfo(easy, CURLINFO_PRIVATE, &it);
        // libcurl has handles of its own, for connections that it closes.
        if (it == nullptr)
            return log(log_event::http_socket_refused,
                {{"url", ""}, {"detail", ec.message()}});
        log(log_event::http_socket_refused,
            {{"url", it->call.url}, {"detail", ec.message()}});
        asio::post(context_, [this, id = it->id] {
            auto const found = transfers_.find(id);
            if (found == transfers_.end())
                return;
            auto const end = end_of(*found->second, CURLE_COULDNT_CONNECT);
            curl().multi_remove_handle(multi_, found->second->easy.get());
            finish(id, end);
        });
    }

    void unwatch(curl_socket_t fd)
    {
        auto const it = sockets_.find(fd);
        if (it == sockets_.end())
            return;
        // libcurl closes the socket.
        it->second->descriptor.release();
        sockets_.erase(it);
    }

    static int on_socket(
        CURL* easy, curl_socket_t fd, int what, void* self, void*)
    {
        if (what == CURL_POLL_REMOVE)
            static_cast<detail*>(self)->unwatch(fd);
        else
            static_cast<detail*>(self)->watch(easy, fd, what);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* self)
    {
        auto& loop = *static_cast<detail*>(self);
        if (timeout_ms < 0) {
            loop.timer_.cancel();
            return 0;
        }
        loop.timer_.expires_after(std::chrono::milliseconds(timeout_ms));
        loop.timer_.async_wait([&loop](asio::error_code ec) {
            if (!ec)
                loop.process_events(CURL_SOCKET_TIMEOUT, 0);
        });
        return 0;
    }

    /// libcurl passes the status line and each line of headers and trailers. A
    /// return value other than their size ends the call.
    static std::size_t on_header(
        char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& it = *static_cast<transfer*>(user);
        auto& result = it.result;
        std::string_view const line(data, size * count);
        constexpr std::size_t malformed = 0;
        if (it.head.is_complete()) {
            // The trailers of an answer are skipped.
            if (class_of(result.status) != status_class::interim)
                return line.size();
            it.head = head_checker();
        }
        bool const is_status_line = it.head.is_at_start();
        if (it.head.check(line) != line.size())
            return malformed;
        if (is_status_line) {
            // The head of the final answer replaces that of an interim one.
            result.status = status_of(line);
            result.headers.clear();
            return class_of(result.status) == status_class::protocol_change
                ? malformed
                : line.size();
        }
        auto const colon = line.find(':');
        if (colon != std::string_view::npos)
            result.headers.push_back({std::string(line.substr(0, colon)),
                std::string(trimmed(line.substr(colon + 1)))});
        return line.size();
    }

    static std::size_t on_body(
        char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& it = *static_cast<transfer*>(user);
        auto const bytes = size * count;
        if (it.result.body.size() + bytes > it.call.max_answer_bytes) {
            it.too_large = true;
            log(log_event::http_answer_too_large,
                {{"url", it.call.url}, {"limit", it.call.max_answer_bytes}});
            return 0;
        }
        it.result.body.append(data, bytes);
        return bytes;
    }

    asio::io_context& context_;
    asio::steady_timer timer_;
    CURLM* multi_;
    std::uint64_t last_id_ = 0;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<transfer>> transfers_;
    /// Shared with the pending waits on them.
    std::map<curl_socket_t, std::shared_ptr<socket_waits>> sockets_;
};

curl_loop::curl_loop(asio::io_context& context)
    : detail_(std::make_unique<detail>(context))
{
}

curl_loop::~curl_loop() = default;

std::uint64_t curl_loop::start(http_call call, callback on_end)
{
    return detail_->start(std::move(call), std::move(on_end));
}

void curl_loop::cancel(std::uint64_t id)
{
    detail_->cancel(id);
}

std::size_t curl_loop::running() const
{
    return detail_->running();
}

} // namespace pomelohinge
