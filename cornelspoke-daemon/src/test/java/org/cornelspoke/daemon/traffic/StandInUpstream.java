package org.cornelspoke.daemon.traffic;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in upstream with one thread per connection and scripted responses. */
final class StandInUpstream implements Closeable {

  /** Serves one request. */
  interface Script {
    void serve(String head, byte[] body, Socket socket) throws Exception;
  }

  final List<String> requestHeads = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  volatile Script script;

  private final ServerSocket server;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  StandInUpstream(Script script) throws IOException {
    this(script, 0);
  }

  /** Listens on a port, or on a free one if the port is 0. */
  StandInUpstream(Script script, int port) throws IOException {
    this.script = script;
    this.server = new ServerSocket(port, 200, InetAddress.getLoopbackAddress());
    daemonThread(this::acceptAll);
  }

  static StandInUpstream answering(String body) throws IOException {
    return new StandInUpstream((head, in, socket) -> respond(socket, 200, body));
  }

  static void respond(Socket socket, int status, String body, String... headers)
      throws IOException {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    for (String header : headers) {
      text.append(header).append("\r\n");
    }
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    write(socket, text.toString());
  }

  static void write(Socket socket, String raw) throws IOException {
    socket.getOutputStream().write(raw.getBytes(ISO_8859_1));
    socket.getOutputStream().flush();
  }

  int port() {
    return server.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        connections.incrementAndGet();
        daemonThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // The stand-in was closed.
    }
  }

  private void serve(Socket socket) {
    try {
      while (true) {
        String head = readHead(socket.getInputStream());
        if (head == null) {
          return;
        }
        requestHeads.add(head);
        byte[] body = socket.getInputStream().readNBytes(lengthOf(head));
        script.serve(head, body, socket);
      }
    } catch (Exception e) {
      // The connection was closed, or the script failed; close the connection in either case.
      closeQuietly(socket);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is unusable anyway.
    }
  }

  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != 0x0d0a0d0a) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.write(b);
      tail = tail << 8 | b;
    }
    return head.toString(ISO_8859_1);
  }

  static int lengthOf(String head) {
    String value = headerOf(head, "Content-Length");
    return value == null ? 0 : Integer.parseInt(value);
  }

  static String headerOf(String head, String name) {
    for (String line : head.split("\r\n", -1)) {
      if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
        return line.substring(name.length() + 1).strip();
      }
    }
    return null;
  }

  static void daemonThread(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }
}
