package org.cornelspoke.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelspoke.model.Endpoint;

/** Forwards requests to a server and closes the client's connection at the first response byte. */
final class ResponseDroppingProxy implements AutoCloseable {

  private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
  private final AtomicInteger dropped = new AtomicInteger();
  private final Thread thread;

  @SuppressWarnings("unused")
  private volatile IOException lastFailure;

  ResponseDroppingProxy(String server) throws IOException {
    Endpoint target = Endpoint.parse(server);
    this.thread = new Thread(() -> serve(target), "answer-dropping-proxy");
    thread.start();
  }

  String endpoint() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  int droppedResponses() {
    return dropped.get();
  }

  @Override
  public void close() throws Exception {
    listener.close();
    thread.join();
  }

  private void serve(Endpoint target) {
    while (!listener.isClosed()) {
      try (Socket client = listener.accept();
          Socket server = new Socket(target.ip(), target.port())) {
        Thread forward = new Thread(() -> copy(client, server), "answer-dropping-proxy-forward");
        forward.start();
        if (server.getInputStream().read() >= 0) {
          dropped.incrementAndGet();
        }
        client.close();
        forward.join();
      } catch (IOException e) {
        // close() closes the listener, which ends the loop.
        lastFailure = e;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[4096];
    try {
      InputStream in = from.getInputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        to.getOutputStream().write(buffer, 0, n);
      }
    } catch (IOException e) {
      // One of the connections was closed.
      lastFailure = e;
    }
  }
}
