package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An application target beside a sidecar daemon: serves requests and sends heartbeats. */
public class Target implements AutoCloseable {

  /** Handles one request on a connection of the daemon. */
  public interface Behaviour {
    /** Reads the rest of the request, works and answers; returns false to close the connection. */
    boolean serve(Target target, Http.Message head, InputStream in, OutputStream out)
        throws IOException, InterruptedException;
  }

  public final Lab lab;
  public final Lab.Machine machine;
  public final String id;
  public final long bornMillis = System.currentTimeMillis();
  public final int slots;
  public final AtomicLong sequence = new AtomicLong();
  public final AtomicInteger runs = new AtomicInteger();
  public volatile String state = "ready";
  public volatile boolean beating = true;
  private final Behaviour behaviour;
  private final ServerSocket server;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;
  public int receiveBufferBytes;

  public Target(Lab lab, Lab.Machine machine, String id, int slots, Behaviour behaviour)
      throws IOException {
    this(lab, machine, id, slots, behaviour, 0);
  }

  public Target(
      Lab lab, Lab.Machine machine, String id, int slots, Behaviour behaviour, int receiveBuffer)
      throws IOException {
    this.lab = lab;
    this.machine = machine;
    this.id = id;
    this.slots = slots;
    this.behaviour = behaviour;
    server = new ServerSocket();
    server.setReuseAddress(true);
    if (receiveBuffer > 0) {
      server.setReceiveBufferSize(receiveBuffer);
    }
    server.bind(
        new InetSocketAddress(InetAddress.getByName(machine.ip), lab.targetPort()), 1_024);
    daemonThread(this::acceptAll);
    daemonThread(this::beatAll);
  }

  static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void acceptAll() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        daemonThread(() -> serveAll(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serveAll(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 2_048);
      OutputStream out = socket.getOutputStream();
      boolean open = true;
      while (open) {
        Http.Message head = Http.readHead(in);
        if (head == null) {
          return;
        }
        String intended = head.header("x-intended-instance");
        if (intended != null && !intended.equals(id)) {
          Http.readBody(in, head);
          answer(out, head, 421, new byte[0], "X-Not-Executed: 1\r\n");
          continue;
        }
        open = behaviour.serve(this, head, in, out);
      }
    } catch (IOException | InterruptedException e) {
      // The daemon has closed the connection, or the target ends.
    } finally {
      connections.remove(socket);
    }
  }

  /** Sends an answer with a length, the id of the request and a signature. */
  public void answer(OutputStream out, Http.Message request, int status, byte[] body, String more)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + " X\r\nX-Request-Id: " + request.header("x-request-id") + "\r\n"
            + (status == 421 ? "" : "X-Response-Signature: " + signature(body) + "\r\n")
            + more
            + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] headBytes = Lab.latin1(head);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    out.write(all);
    out.flush();
  }

  public static String signature(byte[] body) {
    return body.length + "." + Integer.toHexString(java.util.Arrays.hashCode(body));
  }

  private void beatAll() {
    while (!closed) {
      try {
        if (beating) {
          sendBeat(beat());
        }
        Thread.sleep(1_500);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the next heartbeat. */
  public String beat() {
    return "{\"address\":\"" + machine.ip + ":" + lab.targetPort() + "\",\"born\":" + bornMillis
        + ",\"info\":{\"service\":\"" + machine.service + "\",\"version\":\"v1\",\"zone\":\""
        + machine.zone + "\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state
        + "\",\"sequence\":" + sequence.incrementAndGet() + ",\"cold_remaining\":\"0ms\"}}";
  }

  /** Sends a heartbeat; returns its status or 0. */
  public int sendBeat(String body) {
    return control("instances.heartbeat", body);
  }

  public int deregister() {
    return control("instances.deregister", "{\"born\":" + bornMillis + "}");
  }

  private int control(String call, String body) {
    try {
      return Http.call(
              machine.ip,
              lab.controlPort(),
              1_000,
              "POST /api/rpc?call=" + call + "&of=" + id
                  + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n",
              body)
          .status;
    } catch (IOException e) {
      return 0;
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
