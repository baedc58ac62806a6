package org.cornelspoke.daemon.traffic;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** An HTTP client that sends exactly the given bytes. */
final class RawClient implements Closeable {

  record Response(int status, String head, String body) {

    String header(String name) {
      return StandInUpstream.headerOf(head, name);
    }

    String reason() {
      return header("Cornelspoke-Reason");
    }

    String verdict() {
      return header("Cornelspoke-Verdict");
    }
  }

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final Socket socket = new Socket();

  RawClient(InetSocketAddress address) throws IOException {
    socket.connect(address);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
  }

  static Response once(InetSocketAddress address, String raw) throws IOException {
    try (RawClient client = new RawClient(address)) {
      return client.call(raw);
    }
  }

  static String request(String method, String target, String body, String... headers) {
    StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: test\r\n");
    for (String header : headers) {
      text.append(header).append("\r\n");
    }
    if (!body.isEmpty()) {
      text.append("Content-Length: ").append(body.length()).append("\r\n");
    }
    return text.append("\r\n").append(body).toString();
  }

  Response call(String raw) throws IOException {
    send(raw);
    return read();
  }

  void send(String raw) throws IOException {
    socket.getOutputStream().write(raw.getBytes(ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Returns the next response, or null if the connection was closed before it. */
  Response read() throws IOException {
    String head = StandInUpstream.readHead(socket.getInputStream());
    if (head == null) {
      return null;
    }
    int length = StandInUpstream.lengthOf(head);
    String body = new String(socket.getInputStream().readNBytes(length), ISO_8859_1);
    return new Response(Integer.parseInt(head.substring(9, 12)), head, body);
  }

  boolean isClosedByServer() throws IOException {
    return socket.getInputStream().read() < 0;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
