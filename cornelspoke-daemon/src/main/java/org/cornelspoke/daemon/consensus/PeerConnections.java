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
import java.util.function.Supplier;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.MalformedFrameException;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;
import org.cornelspoke.transport.link.FrameServer;

/** Connections to and from the other control VMs. Belongs to the control thread. */
final class PeerConnections {

  /** Receives what the other VMs send. */
  interface Listener {
    void onMessage(VmId from, PeerMessage message);

    /** A VM has told which VMs are members. */
    default void onMembers(PeerMessage.Members members) {}

    /** The connection to a VM was lost; frames handed to it may not have arrived. */
    void onDown(VmId vmId);
  }

  private static final byte[] PONG = PeerMessageCodec.encode(new PeerMessage.Pong());

  private final NioReactor reactor;
  private final Map<VmId, Endpoint> staticPeers;
  private final VmId self;
  private final Supplier<PeerMessage.Hello> hello;
  private final Listener listener;
  private final FrameServer server;
  private final Map<VmId, PeerLink> links = new HashMap<>();
  private final Map<VmId, PeerMessage.Hello> hellos = new HashMap<>();
  private final Map<MemberIdentity, VmId> vmIds = new HashMap<>();
  private final Map<VmId, Long> heardMillis = new HashMap<>();
  private final Set<FrameConnection> accepted = new HashSet<>();
  private byte[] members = new byte[0];

  PeerConnections(
      NioReactor reactor,
      VmId self,
      Endpoint address,
      Map<VmId, Endpoint> staticPeers,
      Supplier<PeerMessage.Hello> hello,
      Listener listener) {
    this.reactor = reactor;
    this.self = self;
    this.staticPeers = staticPeers;
    this.hello = hello;
    this.listener = listener;
    this.server = new FrameServer(reactor, address.toSocketAddress(), this::accept);
    staticPeers.forEach(this::addLink);
  }

  void start() throws IOException {
    server.start();
    maintain();
  }

  void stop() {
    server.stop();
    links.values().forEach(PeerLink::stop);
    Set.copyOf(accepted).forEach(FrameConnection::close);
  }

  InetSocketAddress boundAddress() {
    return server.boundAddress();
  }

  /** Opens the links that are down and checks the others. */
  void maintain() {
    long timeMillis = nowMillis();
    links.values().forEach(link -> link.maintain(timeMillis));
  }

  /** Adds links to members that are not in the settings. */
  void update(Membership membership) {
    for (Member member : membership.members()) {
      vmIds.put(member.identity(), member.vmId());
      if (!member.vmId().equals(self)) {
        addLink(member.vmId(), member.peerAddress());
      }
    }
  }

  /** Adds a link to a VM that may be a member, unless there is one. */
  void addPeer(VmId vmId, Endpoint address) {
    if (!vmId.equals(self)) {
      addLink(vmId, address);
    }
  }

  /** Tells the connected VMs, now and those that connect later, which VMs are members. */
  void announce(PeerMessage.Members newMembers) {
    members = PeerMessageCodec.encode(newMembers);
    accepted.forEach(connection -> connection.send(members));
  }

  /** Returns the hellos of the connected VMs that were heard within the time. */
  List<PeerMessage.Hello> heardWithin(long millis) {
    long timeMillis = nowMillis();
    return hellos.values().stream()
        .filter(h -> timeMillis - heardMillis.getOrDefault(h.vmId(), 0L) <= millis)
        .toList();
  }

  /** Returns the hello of a VM that is connected to this one. */
  Optional<PeerMessage.Hello> hello(VmId vmId) {
    return Optional.ofNullable(hellos.get(vmId));
  }

  Set<VmId> staticPeers() {
    return staticPeers.keySet();
  }

  void send(MemberIdentity to, byte[] frame) {
    VmId vmId = vmIds.get(to);
    if (vmId != null) {
      send(vmId, frame);
    }
  }

  /** Returns false if the frame was certainly not sent. */
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
                listener::onDown,
                PeerConnections::nowMillis,
                listener::onMembers));
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void accept(FrameConnection connection) {
    accepted.add(connection);
    connection.start(new Incoming(connection));
  }

  private final class Incoming implements FrameListener {
    private final FrameConnection connection;
    private PeerMessage.Hello peer;

    Incoming(FrameConnection connection) {
      this.connection = connection;
    }

    @Override
    public void onFrame(byte[] frame) {
      PeerMessage message;
      try {
        message = PeerMessageCodec.decode(frame);
      } catch (MalformedFrameException e) {
        throw new IllegalArgumentException(e);
      }
      if (peer != null) {
        heardMillis.put(peer.vmId(), nowMillis());
      }
      if (peer != null && message instanceof PeerMessage.Ping) {
        connection.send(PONG);
      } else if (peer != null) {
        listener.onMessage(peer.vmId(), message);
      } else if (message instanceof PeerMessage.Hello first) {
        peer = first;
        hellos.put(first.vmId(), first);
        vmIds.put(first.identity(), first.vmId());
        heardMillis.put(first.vmId(), nowMillis());
        if (members.length > 0) {
          connection.send(members);
        }
      } else {
        throw new IllegalArgumentException("first frame must be a hello");
      }
    }

    @Override
    public void onClosed(Exception cause) {
      accepted.remove(connection);
      if (peer != null) {
        hellos.remove(peer.vmId(), peer);
      }
    }
  }
}
