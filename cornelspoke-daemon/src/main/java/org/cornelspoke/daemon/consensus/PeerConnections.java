package org.cornelspoke.daemon.consensus;

import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.coordination.consensus.RaftMessage;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.MalformedFrameException;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;
import org.cornelspoke.transport.link.FrameServer;

/** Connections to and from the other control VMs. Confined to the control thread. */
final class PeerConnections {

  /** Receives messages and connection events of the other VMs. */
  interface Listener {
    void onMessage(VmId from, PeerMessage message);

    /** A VM announced the members of the group. */
    default void onMembers(PeerMessage.Members members) {}

    /** The connection to a VM was lost; frames sent over it may not have arrived. */
    void onDisconnected(VmId vmId);
  }

  /**
   * Time without a frame after which an accepted connection is closed. The other VM pings several
   * times a second, and opens a new connection after two seconds without an answer.
   */
  private static final long SILENCE_TIMEOUT_MILLIS = 10_000;

  private static final byte[] PONG = PeerMessageCodec.encode(new PeerMessage.Pong());

  private final NioReactor reactor;
  private final Map<VmId, Endpoint> staticPeers;
  private final VmId self;
  private final Supplier<PeerMessage.Hello> hello;
  private final Listener listener;
  private final FrameServer server;
  private final Map<VmId, PeerLink> links = new HashMap<>();
  private final Map<VmId, PeerMessage.Hello> helloByVm = new HashMap<>();
  private final Map<MemberIdentity, VmId> vmByIdentity = new HashMap<>();
  private final Map<VmId, Long> lastHeardAtMillis = new HashMap<>();
  private final Set<IncomingConnection> acceptedConnections = new HashSet<>();
  private final LongSupplier millisClock;
  private byte[] membersFrame = new byte[0];

  PeerConnections(
      NioReactor reactor,
      VmId self,
      Endpoint address,
      Map<VmId, Endpoint> staticPeers,
      Supplier<PeerMessage.Hello> hello,
      Listener listener) {
    this(
        reactor,
        self,
        address,
        staticPeers,
        hello,
        listener,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  PeerConnections(
      NioReactor reactor,
      VmId self,
      Endpoint address,
      Map<VmId, Endpoint> staticPeers,
      Supplier<PeerMessage.Hello> hello,
      Listener listener,
      LongSupplier millisClock) {
    this.millisClock = millisClock;
    this.reactor = reactor;
    this.self = self;
    this.staticPeers = staticPeers;
    this.hello = hello;
    this.listener = listener;
    this.server = new FrameServer(reactor, address.toSocketAddress(), this::accept);
    staticPeers.forEach(this::addLink);
  }

  /** Starts to listen; {@link #maintain} connects to the other VMs. */
  void start() throws IOException {
    server.start();
  }

  void stop() {
    server.stop();
    links.values().forEach(PeerLink::stop);
    Set.copyOf(acceptedConnections).forEach(IncomingConnection::close);
  }

  InetSocketAddress boundAddress() {
    return server.boundAddress();
  }

  /** Connects the links that are down and closes connections whose peer is silent. */
  void maintain() {
    long currentMillis = nowMillis();
    links.values().forEach(link -> link.maintain(currentMillis));
    for (IncomingConnection incoming : Set.copyOf(acceptedConnections)) {
      if (currentMillis - incoming.lastFrameAtMillis > SILENCE_TIMEOUT_MILLIS) {
        incoming.close();
      }
    }
  }

  /** Updates the VM of each identity and adds links to members that have none. */
  void updateMembers(Membership membership) {
    for (Member member : membership.members()) {
      vmByIdentity.put(member.identity(), member.vmId());
      if (!member.vmId().equals(self)) {
        addLink(member.vmId(), member.peerAddress());
      }
    }
  }

  /** Adds a link to a VM that may be a member, unless it exists. */
  void addPeer(VmId vmId, Endpoint address) {
    if (!vmId.equals(self)) {
      addLink(vmId, address);
    }
  }

  /** Announces the members to the connected VMs and to those that connect later. */
  void announce(PeerMessage.Members newMembers) {
    membersFrame = PeerMessageCodec.encode(newMembers);
    acceptedConnections.forEach(incoming -> incoming.connection.send(membersFrame));
  }

  /** Returns the hellos of the connected VMs that sent a frame within the given time. */
  List<PeerMessage.Hello> heardWithin(long millis) {
    long currentMillis = nowMillis();
    return helloByVm.values().stream()
        .filter(h -> currentMillis - lastHeardAtMillis.getOrDefault(h.vmId(), 0L) <= millis)
        .toList();
  }

  /** Returns the hello of a VM that is connected to this VM. */
  Optional<PeerMessage.Hello> hello(VmId vmId) {
    return Optional.ofNullable(helloByVm.get(vmId));
  }

  Set<VmId> staticPeers() {
    return staticPeers.keySet();
  }

  void send(MemberIdentity to, byte[] frame) {
    VmId vmId = vmByIdentity.get(to);
    if (vmId != null) {
      send(vmId, frame);
    }
  }

  /** Returns false if the link is down and the frame was not sent. */
  boolean send(VmId to, byte[] frame) {
    PeerLink link = links.get(to);
    return link != null && link.send(frame);
  }

  private void addLink(VmId vmId, Endpoint address) {
    links.computeIfAbsent(
        vmId,
        id ->
            new PeerLink(
                reactor,
                id,
                address,
                hello,
                listener::onDisconnected,
                millisClock,
                listener::onMembers));
  }

  private long nowMillis() {
    return millisClock.getAsLong();
  }

  private void accept(FrameConnection connection) {
    IncomingConnection incoming = new IncomingConnection(connection);
    acceptedConnections.add(incoming);
    connection.start(incoming);
  }

  private final class IncomingConnection implements FrameListener {
    private final FrameConnection connection;
    private PeerMessage.Hello peer;
    private long lastFrameAtMillis = nowMillis();

    IncomingConnection(FrameConnection connection) {
      this.connection = connection;
    }

    void close() {
      connection.close();
    }

    @Override
    public void onFrame(byte[] frame) {
      lastFrameAtMillis = nowMillis();
      PeerMessage message;
      try {
        message = PeerMessageCodec.decode(frame);
      } catch (MalformedFrameException e) {
        throw new IllegalArgumentException(e);
      }
      if (peer != null) {
        lastHeardAtMillis.put(peer.vmId(), nowMillis());
      }
      if (peer != null && message instanceof PeerMessage.Ping) {
        connection.send(PONG);
      } else if (peer != null) {
        if (!isReportOfAnotherVm(message)) {
          listener.onMessage(peer.vmId(), message);
        }
      } else if (message instanceof PeerMessage.Hello received) {
        peer = received;
        helloByVm.put(received.vmId(), received);
        vmByIdentity.put(received.identity(), received.vmId());
        lastHeardAtMillis.put(received.vmId(), nowMillis());
        // A wiped VM may know no other address of the group.
        addPeer(received.vmId(), received.peerAddress());
        if (membersFrame.length > 0) {
          connection.send(membersFrame);
        }
      } else {
        throw new IllegalArgumentException("first frame must be a hello");
      }
    }

    /**
     * Returns true for the report that an identity is lost if it comes from another VM than that of
     * the identity: a VM knows only what its own data folder has held.
     */
    private boolean isReportOfAnotherVm(PeerMessage message) {
      return message instanceof PeerMessage.Raft raft
          && raft.message() instanceof RaftMessage.IdentityLost report
          && !peer.vmId().equals(vmByIdentity.get(report.lost()));
    }

    @Override
    public void onClosed(Exception cause) {
      acceptedConnections.remove(this);
      if (peer != null) {
        helloByVm.remove(peer.vmId(), peer);
      }
    }
  }
}
