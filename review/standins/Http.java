import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on plain sockets. */
final class Http {

  /** A message head; {@code start} is its first line. */
  record Head(String start, Map<String, String> headers) {
    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  record Answer(Head head, byte[] body) {
    int status() {
      return head.status();
    }
  }

  private Http() {}

  static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
    socket.setSoTimeout(timeoutMillis);
    return socket;
  }

  static void send(OutputStream out, String start, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(start).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body != null) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    if (body != null) {
      out.write(body);
    }
    out.flush();
  }

  /** Sends one request on a new connection. */
  static Answer call(
      String ip,
      int port,
      String start,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis)
      throws IOException {
    try (Socket socket = connect(ip, port, timeoutMillis)) {
      Map<String, String> all = new LinkedHashMap<>(headers);
      all.putIfAbsent("Host", ip);
      send(socket.getOutputStream(), start, all, body);
      return readAnswer(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static Answer readAnswer(InputStream in) throws IOException {
    Head head = readHead(in);
    if (head == null) {
      throw new EOFException("closed before an answer");
    }
    return new Answer(head, readBody(in, head));
  }

  /** Returns the next head, or null if the connection ended before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Head(start, headers);
  }

  static byte[] readBody(InputStream in, Head head) throws IOException {
    String length = head.header("content-length");
    if (length == null) {
      return new byte[0];
    }
    byte[] body = in.readNBytes(Integer.parseInt(length));
    if (body.length < Integer.parseInt(length)) {
      throw new EOFException("body is cut");
    }
    return body;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
