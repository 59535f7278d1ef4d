#ifndef CORNELTRAY_HTTP_CONNECTION_H_
#define CORNELTRAY_HTTP_CONNECTION_H_

#include <httplib.h>

#include <chrono>
#include <string>

#include "corneltray/time.h"

namespace corneltray {

// One accepted connection as the library reads and writes it. Bounds the bytes of the headers and
// the time for headers and body, which the library does not. Reads are buffered, because the
// library reads headers byte by byte.
class HttpConnection : public httplib::Stream {
 public:
  HttpConnection(int socket, std::size_t max_header_bytes, std::chrono::milliseconds read_timeout,
                 std::chrono::milliseconds write_timeout);

  // Starts a request: the limits on its headers hold from now on.
  void BeginRequest();
  // The headers are complete: from now on the body is read.
  void BeginBody();

  // Returns the bytes of the request line and headers read since BeginRequest.
  const std::string& Head() const { return m_head; }

  // Returns whether a byte is waiting, within a time.
  bool WaitReadable(std::chrono::milliseconds timeout) const;
  // Returns whether the peer has closed the connection or its sending half. Any thread.
  bool HasHungUp() const;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return m_socket; }

 private:
  ssize_t Fill();

  int m_socket;
  std::size_t m_max_header_bytes;
  std::chrono::milliseconds m_read_timeout;
  std::chrono::milliseconds m_write_timeout;
  TimePoint m_read_by{};
  TimePoint m_body_by{};
  bool m_in_headers = true;
  std::string m_head;
  char m_buffer[4096];
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_CONNECTION_H_
