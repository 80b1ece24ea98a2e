#ifndef POMELOHINGE_TESTS_DRIVERS_SCRIPTED_TARGET_HPP
#define POMELOHINGE_TESTS_DRIVERS_SCRIPTED_TARGET_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pomelohinge {

/// A connection to a scripted target.
class target_connection
{
public:
    using tcp = asio::ip::tcp;

    explicit target_connection(tcp::socket socket) : socket_(std::move(socket))
    {
    }

    /// Reads the head of a request; empty once the connection has ended.
    std::string read_head()
    {
        asio::error_code ec;
        auto const n = asio::read_until(
            socket_, asio::dynamic_buffer(input_), "\r\n\r\n", ec);
        if (ec)
            return {};
        auto head = input_.substr(0, n);
        input_.erase(0, n);
        return head;
    }

    /// Reads a request with the body that its length states.
    std::string read_call()
    {
        constexpr std::string_view field = "Content-Length: ";
        auto call = read_head();
        auto const at = call.find(field);
        if (at == std::string::npos)
            return call;
        auto const n = std::stoul(call.substr(at + field.size()));
        asio::error_code ec;
        if (input_.size() < n)
            asio::read(socket_, asio::dynamic_buffer(input_),
                asio::transfer_exactly(n - input_.size()), ec);
        call += input_.substr(0, n);
        input_.erase(0, n);
        return call;
    }

    /// Returns whether the caller has taken the bytes.
    bool write(std::string const& bytes)
    {
        asio::error_code ec;
        asio::write(socket_, asio::buffer(bytes), ec);
        return !ec;
    }

    /// Waits until the caller closes the connection.
    void await_close()
    {
        asio::error_code ec;
        char byte = 0;
        while (!ec)
            socket_.read_some(asio::buffer(&byte, 1), ec);
    }

    /// Makes all calls above return. Can be called from another thread.
    void shut_down()
    {
        asio::error_code ec;
        socket_.shutdown(tcp::socket::shutdown_both, ec);
    }

    /// Ends the output and goes on reading.
    void end_output()
    {
        asio::error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
    }

    /// Closes the connection with a reset.
    void reset()
    {
        asio::error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        socket_.close(ec);
    }

private:
    tcp::socket socket_;
    std::string input_;
};

/// A target on loopback that serves each connection by a script, on a thread of
/// its own.
class scripted_target
{
public:
    using tcp = asio::ip::tcp;
    using script = std::function<void(target_connection&)>;

    explicit scripted_target(script serve)
        : serve_(std::move(serve)),
          acceptor_(
              context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          thread_([this] { accept(); })
    {
    }

    ~scripted_target()
    {
        stopping_ = true;
        asio::error_code ec;
        tcp::socket(context_).connect(acceptor_.local_endpoint(), ec);
        thread_.join();
        for (auto const& it : connections_)
            it->shut_down();
        for (auto& it : threads_)
            it.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// The number of connections accepted so far.
    int accepted() const { return accepted_; }

private:
    void accept()
    {
        while (true) {
            auto socket = acceptor_.accept();
            if (stopping_)
                return;
            ++accepted_;
            connections_.push_back(
                std::make_unique<target_connection>(std::move(socket)));
            threads_.emplace_back(
                [this, &it = *connections_.back()] { serve_(it); });
        }
    }

    script serve_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> accepted_ = 0;
    std::vector<std::unique_ptr<target_connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

} // namespace pomelohinge

#endif
