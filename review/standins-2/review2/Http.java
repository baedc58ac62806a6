package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The little HTTP/1.1 that the stand-ins need. */
public final class Http {

  private Http() {}

  /** A request or response: first line, headers with lower-case names, and body. */
  public static final class Message {
    public String firstLine;
    public final Map<String, String> headers = new TreeMap<>();
    public byte[] body = new byte[0];

    public String header(String name) {
      return headers.get(name);
    }
  }

  /** A response. */
  public static final class Answer {
    public final int status;
    public final Message message;

    Answer(Message message) {
      this.message = message;
      this.status = Integer.parseInt(message.firstLine.split(" ")[1]);
    }

    public String text() {
      return new String(message.body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a line that ends with CR LF; returns null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        line.write(b);
      }
      b = in.read();
    }
    if (b < 0) {
      throw new EOFException("incomplete line");
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; returns null at the end of the stream. */
  public static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    message.firstLine = readLine(in);
    if (message.firstLine == null) {
      return null;
    }
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      line = readLine(in);
    }
    if (line == null) {
      throw new EOFException("incomplete head");
    }
    return message;
  }

  /** Reads the body of a message. */
  public static void readBody(InputStream in, Message message) throws IOException {
    String length = message.header("content-length");
    if (length != null) {
      message.body = readExactly(in, Integer.parseInt(length));
    } else if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size = Integer.parseInt(readLine(in).strip(), 16);
      while (size > 0) {
        body.write(readExactly(in, size));
        readLine(in);
        size = Integer.parseInt(readLine(in).strip(), 16);
      }
      while (!readLine(in).isEmpty()) {
        continue;
      }
      message.body = body.toByteArray();
    }
  }

  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("body ends after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  /** Reads a complete response. */
  public static Answer readAnswer(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      throw new EOFException("closed without an answer");
    }
    readBody(in, head);
    return new Answer(head);
  }

  /** Sends one request on a new connection; {@code head} ends with the last header line. */
  public static Answer call(String ip, int port, int timeoutMillis, String head, String body)
      throws IOException {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    try (Socket socket = Lab.connect(ip, port, timeoutMillis)) {
      socket.setSoTimeout(timeoutMillis);
      OutputStream out = socket.getOutputStream();
      String length = head.startsWith("GET") ? "" : "Content-Length: " + content.length + "\r\n";
      byte[] headBytes = Lab.latin1(head + length + "Connection: close\r\n\r\n");
      byte[] all = new byte[headBytes.length + content.length];
      System.arraycopy(headBytes, 0, all, 0, headBytes.length);
      System.arraycopy(content, 0, all, headBytes.length, content.length);
      out.write(all);
      out.flush();
      return readAnswer(new BufferedInputStream(socket.getInputStream()));
    }
  }
}
