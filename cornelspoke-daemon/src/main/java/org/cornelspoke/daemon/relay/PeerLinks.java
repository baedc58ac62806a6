package org.cornelspoke.daemon.relay;

import io.activej.reactor.nio.NioReactor;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.control.ControlCodec;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;

/**
 * Connections that this relay opens to other relays. Each is opened by the first message, and
 * closed if the other relay is silent: after a long partition TCP retransmits only every two
 * minutes, and messages would wait as long.
 */
final class PeerLinks {

  private static final System.Logger LOGGER = System.getLogger(PeerLinks.class.getName());
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Time without a received message after which a reply is requested. */
  private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time without that reply after which the connection is closed. */
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Maximum messages queued for a connection; senders of reports and queries repeat them. */
  private static final int MAX_QUEUED_MESSAGES = 100;

  private final NioReactor reactor;
  private final VmId localVmId;
  private Map<VmId, InetSocketAddress> addresses;
  private final BiConsumer<VmId, ControlMessage> receiver;
  private final Consumer<VmId> lossListener;
  private final LongSupplier nanoClock;
  private final Map<VmId, PeerConnection> connections = new HashMap<>();
  private boolean stopped;

  PeerLinks(
      NioReactor reactor,
      VmId localVmId,
      Map<VmId, InetSocketAddress> addresses,
      BiConsumer<VmId, ControlMessage> receiver,
      Consumer<VmId> lossListener,
      LongSupplier nanoClock) {
    this.reactor = reactor;
    this.localVmId = localVmId;
    this.addresses = Map.copyOf(addresses);
    this.receiver = receiver;
    this.lossListener = lossListener;
    this.nanoClock = nanoClock;
  }

  /** Replaces the peers. Connections to removed peers stay open until they are lost. */
  void setAddresses(Map<VmId, InetSocketAddress> newAddresses) {
    addresses = Map.copyOf(newAddresses);
  }

  Set<VmId> peerIds() {
    return addresses.keySet();
  }

  /** Returns false if the peer is unknown or too many messages are queued for its connection. */
  boolean send(VmId peer, ControlMessage message) {
    if (stopped || !addresses.containsKey(peer)) {
      return false;
    }
    return connections.computeIfAbsent(peer, PeerConnection::new).send(message);
  }

  /**
   * Requests replies of silent peers, or closes their connections. Called several times a second.
   */
  void onTick() {
    long nowNanos = nanoClock.getAsLong();
    List.copyOf(connections.values()).forEach(connection -> connection.onTick(nowNanos));
  }

  void stop() {
    stopped = true;
    List.copyOf(connections.values()).forEach(PeerConnection::close);
  }

  private final class PeerConnection implements FrameListener {

    private final VmId peer;
    private final List<ControlMessage> queuedMessages = new ArrayList<>();
    private FrameConnection connection;
    private long receivedAtNanos;
    private long probedAtNanos;
    private boolean probing;

    PeerConnection(VmId peer) {
      this.peer = peer;
      FrameConnection.connect(reactor, addresses.get(peer), CONNECT_TIMEOUT)
          .whenResult(this::onConnected)
          .whenException(e -> onClosed(e));
    }

    boolean send(ControlMessage message) {
      if (connection != null) {
        connection.send(ControlCodec.encode(message));
        return true;
      }
      return queuedMessages.size() < MAX_QUEUED_MESSAGES && queuedMessages.add(message);
    }

    void onTick(long nowNanos) {
      if (connection == null) {
        return;
      }
      if (probing && nowNanos - probedAtNanos > PROBE_TIMEOUT_NANOS) {
        connection.close();
      } else if (!probing && nowNanos - receivedAtNanos > PROBE_INTERVAL_NANOS) {
        probing = true;
        probedAtNanos = nowNanos;
        send(ControlMessage.StatusQuery.PROBE);
      }
    }

    void close() {
      if (connection != null) {
        connection.close();
      }
    }

    @Override
    public void onFrame(byte[] frame) {
      receivedAtNanos = nanoClock.getAsLong();
      probing = false;
      receiver.accept(peer, ControlCodec.decode(frame));
    }

    @Override
    public void onClosed(Exception cause) {
      if (connections.remove(peer, this)) {
        if (connection != null) {
          LOGGER.log(Level.INFO, "connection to relay {0} lost: {1}", peer, cause.getMessage());
        }
        lossListener.accept(peer);
      }
    }

    private void onConnected(FrameConnection newConnection) {
      connection = newConnection;
      receivedAtNanos = nanoClock.getAsLong();
      newConnection.start(this);
      if (stopped) {
        newConnection.close();
        return;
      }
      newConnection.send(ControlCodec.encode(new ControlMessage.PeerHello(localVmId)));
      queuedMessages.forEach(this::send);
      queuedMessages.clear();
    }
  }
}
