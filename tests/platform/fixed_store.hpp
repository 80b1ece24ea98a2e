#ifndef POMELOHINGE_TESTS_PLATFORM_FIXED_STORE_HPP
#define POMELOHINGE_TESTS_PLATFORM_FIXED_STORE_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace pomelohinge::platform {

/// A server on loopback in place of the platform's store. It answers each call
/// with the body that the test has set.
class fixed_store
{
    using tcp = asio::ip::tcp;

public:
    fixed_store()
        : acceptor_(
              context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          thread_([this] { serve(); })
    {
    }

    ~fixed_store()
    {
        stopped_ = true;
        asio::error_code ec;
        tcp::socket(context_).connect(acceptor_.local_endpoint(), ec);
        thread_.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    void set_answer(int status, std::string body)
    {
        std::lock_guard const lock(mutex_);
        make_body_ = nullptr;
        answer_ = encode(status, body);
    }

    /// Start line and headers of the last call.
    std::string head() const
    {
        std::lock_guard const lock(mutex_);
        return head_;
    }

    /// The body of the last call that had one.
    std::string body() const
    {
        std::lock_guard const lock(mutex_);
        return body_;
    }

    /// Answers each call with a new body.
    void set_answers(std::function<std::string()> make_body)
    {
        std::lock_guard const lock(mutex_);
        make_body_ = std::move(make_body);
    }

private:
    static std::string encode(int status, std::string const& body)
    {
        return "HTTP/1.1 " + std::to_string(status) +
            " Status\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\nConnection: close\r\n\r\n" + body;
    }

    static std::size_t content_length(std::string const& head)
    {
        constexpr std::string_view name = "Content-Length:";
        auto const at = head.find(name);
        return at == std::string::npos
            ? 0
            : std::stoul(head.substr(at + name.size()));
    }

    void serve()
    {
        while (true) {
            asio::error_code ec;
            auto socket = acceptor_.accept(ec);
            if (stopped_)
                return;
            std::string head;
            auto const head_size = asio::read_until(
                socket, asio::dynamic_buffer(head), "\r\n\r\n", ec);
            auto body = head.substr(head_size);
            auto const wanted = content_length(head.substr(0, head_size));
            if (body.size() < wanted)
                asio::read(socket, asio::dynamic_buffer(body),
                    asio::transfer_exactly(wanted - body.size()), ec);
            head.resize(head_size);
            std::lock_guard const lock(mutex_);
            head_ = std::move(head);
            if (!body.empty())
                body_ = std::move(body);
            if (make_body_)
                answer_ = encode(200, make_body_());
            asio::write(socket, asio::buffer(answer_), ec);
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    std::string head_;
    std::string body_;
    std::string answer_;
    std::function<std::string()> make_body_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace pomelohinge::platform

#endif
