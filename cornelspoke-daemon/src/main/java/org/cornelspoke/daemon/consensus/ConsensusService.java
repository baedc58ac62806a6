package org.cornelspoke.daemon.consensus;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.coordination.consensus.MembershipChange;
import org.cornelspoke.coordination.consensus.MembershipRefusedException;
import org.cornelspoke.coordination.consensus.RaftNode;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.coordination.consensus.ReadResult;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.state.StateMachine;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.state.log.Snapshot;
import org.cornelspoke.util.Assert;

/**
 * This VM's member of the control group: runs {@link RaftNode} on the control event loop, persists
 * on a writer thread, and applies committed commands to the state machine.
 *
 * <p>On the first start the VM with the smallest id forms the group once it is connected to all VMs
 * of the settings and all their data folders are empty. A wiped VM therefore never forms a second
 * group; an operator or, with automatic membership, the leader adds it as a learner.
 *
 * <p>A start on a folder that refuses writes waits until it accepts them. Meanwhile this VM has no
 * leader and no members, and proposals and reads fail.
 *
 * <p>All methods must be called on the control thread, except {@link #awaitStopped}.
 */
public final class ConsensusService implements ReplicatedLog {

  private static final System.Logger LOG = System.getLogger(ConsensusService.class.getName());

  /** A tenth of the minimum election timeout; each tick wakes up the control thread. */
  private static final long TICK_INTERVAL_MILLIS = 50;

  private static final long MAINTENANCE_INTERVAL_TICKS = 2;

  /** Delay before further committed entries are applied, in which other events are handled. */
  private static final long APPLY_PAUSE_MILLIS = 1;

  private final NioReactor reactor;
  private final VmId vmId;
  private final Endpoint peerAddress;
  private final Path dataFolder;
  private final Map<VmId, Endpoint> peers;
  private final DiskOpener diskOpener;
  private final StateMachine stateMachine;
  private final ConsensusSettings settings;
  private final MetricRegistry metricRegistry;
  private final SecureRandom random = new SecureRandom();
  private final PendingRequests pending = new PendingRequests();
  private final LocalOperations localOperations = new LocalOperations();
  private final ForwardedRequestHandler forwardedRequests;
  private final boolean mayFormGroup;
  private final OptionalInt targetVoters;
  private final Consumer<Membership> membershipListener;
  private final SnapshotSchedule snapshots;
  private final FolderCondition folderCondition = new FolderCondition();
  private final Runnable openListener;
  private final Consumer<Throwable> failureListener;
  private ConsensusMetrics metrics;
  private FolderOpening opening;
  private DiskWriter writer;
  private PeerConnections connections;
  private RaftNode node;
  private GroupUpkeep upkeep;
  private long appliedIndex;
  private long nextCallId;
  private long tickCount;
  private boolean outputsScheduled;
  private boolean waitingForFolder;
  private boolean running;
  private Membership knownMembership = Membership.EMPTY;
  private Optional<VmId> knownLeader = Optional.empty();

  ConsensusService(ConsensusServiceBuilder builder) {
    this.reactor = Assert.notNull(builder.reactor, "reactor");
    this.vmId = Assert.notNull(builder.vmId, "vmId");
    this.peerAddress = Assert.notNull(builder.peerAddress, "peerAddress");
    this.dataFolder = Assert.notNull(builder.dataFolder, "dataFolder");
    this.stateMachine = Assert.notNull(builder.stateMachine, "stateMachine");
    this.diskOpener = builder.diskOpener;
    this.settings = builder.settings;
    this.snapshots = new SnapshotSchedule(settings);
    this.metricRegistry = builder.metricRegistry;
    this.peers = Map.copyOf(builder.peers);
    this.mayFormGroup = builder.mayFormGroup;
    this.targetVoters = builder.targetVoters;
    this.membershipListener = builder.membershipListener;
    this.openListener = builder.openListener;
    this.failureListener = builder.failureListener;
    this.forwardedRequests = new ForwardedRequestHandler(vmId, localOperations, this::send);
    Assert.isTrue(!peers.containsKey(vmId), "peers must not contain this VM");
  }

  /** Returns a builder for a service on the event loop. */
  public static ConsensusServiceBuilder builder(NioReactor reactor) {
    return new ConsensusServiceBuilder(reactor);
  }

  /**
   * Starts to listen, opens the data folder and restores the state. If the folder can't be read or
   * written, further attempts follow in the background.
   *
   * @throws IOException if the folder is damaged or in use, or the address is in use
   */
  public void start() throws IOException {
    Assert.isTrue(connections == null, "start must be called once");
    opening =
        new FolderOpening(
            vmId + "-log-opener",
            this::openFolder,
            settings.storageRetryPause(random.nextLong()),
            new OpeningEvents());
    connections =
        new PeerConnections(reactor, vmId, peerAddress, peers, this::hello, new PeerEvents());
    Optional<OpenFolder> folder = opening.tryOpen();
    boolean listening = false;
    try {
      connections.start();
      listening = true;
    } finally {
      if (!listening && folder.isPresent()) {
        folder.get().close();
      }
    }
    metrics = new ConsensusMetrics(metricRegistry, folderCondition);
    if (folder.isPresent()) {
      run(folder.get());
    } else {
      waitingForFolder = true;
      opening.startRetries();
    }
  }

  private OpenFolder openFolder() throws IOException {
    return OpenFolder.open(
        diskOpener,
        dataFolder,
        settings.segmentBytes(),
        () -> MemberIdentity.random(random::nextLong));
  }

  /** Starts the member with the state that the folder holds. */
  private void run(OpenFolder folder) {
    node =
        new RaftNode(
            settings.raft(),
            folder.storage().recovered(),
            new Well19937c(random.nextLong()),
            System.nanoTime());
    upkeep = new GroupUpkeep(node, connections, this::hello, mayFormGroup, targetVoters);
    writer =
        new DiskWriter(
            vmId + "-log-writer",
            folder,
            settings,
            settings.storageRetryPause(random.nextLong()),
            metrics,
            new DiskWriterEvents());
    writer.start();
    // The random start value keeps replies to calls made before a restart from being matched.
    nextCallId = random.nextLong() >>> 1;
    waitingForFolder = false;
    running = true;
    openListener.run();
    processOutputs();
    tick();
  }

  /** Stops without waiting; unfinished requests are reported as unknown or unavailable. */
  public void stop() {
    if (!running && !waitingForFolder) {
      return;
    }
    running = false;
    waitingForFolder = false;
    connections.stop();
    opening.stop();
    if (writer != null) {
      writer.stop();
    }
    pending.failAll("the service stops");
    metrics.remove();
  }

  /** Waits until the data folder is released; must not be called on the control thread. */
  public void awaitStopped() throws InterruptedException {
    opening.awaitStopped();
    if (writer != null) {
      writer.awaitStopped();
    }
  }

  /** Connects to another VM that may belong to the group. */
  public void addPeer(VmId peer, Endpoint address) {
    if (running || waitingForFolder) {
      connections.addPeer(peer, address);
    }
  }

  /** Returns the address that this service is bound to. */
  public InetSocketAddress boundAddress() {
    return connections.boundAddress();
  }

  @Override
  public void propose(byte[] command, ProposalListener listener) {
    Assert.notNull(command, "command");
    Assert.notNull(listener, "listener");
    if (!running) {
      reactor.post(() -> listener.onNotAppended(notRunningCause()));
    } else if (command.length > RaftSettings.MAX_COMMAND_BYTES) {
      reactor.post(() -> listener.onNotAppended("the command is too large"));
    } else if (!localOperations.proposeIfLeader(command, listener)) {
      forwardProposal(command, listener);
    }
  }

  @Override
  public void readIndex(ReadListener listener) {
    Assert.notNull(listener, "listener");
    if (!running) {
      reactor.post(() -> listener.onUnavailable(notRunningCause()));
      return;
    }
    if (localOperations.readIfLeader(listener)) {
      return;
    }
    long requestId = nextCallId++;
    Optional<VmId> leader = leader();
    byte[] frame = PeerMessageCodec.encode(new PeerMessage.ReadRequest(requestId));
    if (leader.isPresent() && connections.send(leader.get(), frame)) {
      pending.addRead(requestId, leader.get(), listener, deadlineMillis());
    } else {
      reactor.post(() -> listener.onUnavailable("no leader is connected"));
    }
  }

  @Override
  public Optional<VmId> leader() {
    return running
        ? node.leader().flatMap(id -> node.membership().find(id)).map(Member::vmId)
        : Optional.empty();
  }

  @Override
  public boolean isLeader() {
    return running && node.role() == RaftNode.Role.LEADER;
  }

  @Override
  public long term() {
    return node == null ? 0 : node.term();
  }

  @Override
  public long appliedIndex() {
    return appliedIndex;
  }

  /** Returns the committed membership; empty until the data folder is open. */
  public Membership committedMembership() {
    return node == null ? Membership.EMPTY : node.committedMembership();
  }

  /** Returns whether the data folder has not been opened yet because it refuses writes. */
  public boolean isWaitingForFolder() {
    return waitingForFolder;
  }

  /** Returns why the data folder refuses writes; empty if it accepts them. */
  public Optional<String> folderRefusalCause() {
    return folderCondition.refusalCause();
  }

  /** Returns the current members; match indexes are known on the leader only. */
  public List<MemberStatus> members() {
    return node == null
        ? List.of()
        : node.membership().members().stream()
            .map(member -> MemberStatus.of(member, node))
            .toList();
  }

  /**
   * Adds a VM that is connected to this leader as a learner with its current identity. On success
   * the listener receives an empty result.
   */
  public void addLearner(VmId learner, ProposalListener listener) {
    Optional<PeerMessage.Hello> hello = connections.hello(learner);
    if (hello.isEmpty()) {
      reactor.post(() -> listener.onNotAppended(learner + " is not connected to this VM"));
      return;
    }
    MemberIdentity identity = hello.get().identity();
    changeMembership(
        new MembershipChange.AddLearner(
            new Member(learner, identity, hello.get().peerAddress(), false)),
        listener);
  }

  /** Promotes a learner that has caught up to voter. */
  public void promote(MemberIdentity identity, ProposalListener listener) {
    changeMembership(new MembershipChange.Promote(identity), listener);
  }

  /** Removes a member. */
  public void remove(MemberIdentity identity, ProposalListener listener) {
    changeMembership(new MembershipChange.Remove(identity), listener);
  }

  private String notRunningCause() {
    return waitingForFolder
        ? "the data folder of this VM refuses writes: " + folderRefusalCause().orElse("unknown")
        : "the service is not running";
  }

  private void changeMembership(MembershipChange change, ProposalListener listener) {
    if (!running) {
      reactor.post(() -> listener.onNotAppended(notRunningCause()));
      return;
    }
    try {
      long index = node.changeMembership(change);
      pending.addAppended(
          index, node.term(), new SettlementListener(reactor, node, listener), deadlineMillis());
      scheduleOutputs();
    } catch (MembershipRefusedException e) {
      reactor.post(() -> listener.onNotAppended(e.getMessage()));
    }
  }

  private void forwardProposal(byte[] command, ProposalListener listener) {
    long callId = nextCallId++;
    Optional<VmId> leader = leader();
    byte[] frame =
        PeerMessageCodec.encode(new PeerMessage.ProposeRequest(callId, ByteBuffer.wrap(command)));
    if (leader.isPresent() && connections.send(leader.get(), frame)) {
      pending.addForwarded(callId, leader.get(), listener, deadlineMillis());
    } else {
      reactor.post(() -> listener.onNotAppended("no leader is connected"));
    }
  }

  private void tick() {
    if (!running) {
      return;
    }
    reactor.delayBackground(TICK_INTERVAL_MILLIS, this::tick);
    runGuarded(() -> node.tick(System.nanoTime()));
    if (running && tickCount++ % MAINTENANCE_INTERVAL_TICKS == 0) {
      pending.expire(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
      connections.maintain();
      runGuarded(() -> upkeep.tick(System.nanoTime()));
      metrics.publish(node, appliedIndex);
    }
    processOutputs();
  }

  private PeerMessage.Hello hello() {
    return new PeerMessage.Hello(vmId, node.identity(), localAddress(), node.isBlank());
  }

  private Endpoint localAddress() {
    return new Endpoint(peerAddress.ip(), connections.boundAddress().getPort());
  }

  /** Handles the outputs once per event loop iteration, which batches messages and syncs. */
  private void scheduleOutputs() {
    if (!outputsScheduled) {
      outputsScheduled = true;
      reactor.postLast(
          () -> {
            outputsScheduled = false;
            processOutputs();
          });
    }
  }

  private void processOutputs() {
    if (running) {
      runGuarded(this::takeOutputs);
    }
  }

  private void takeOutputs() {
    node.takePersistRequests().forEach(writer::submit);
    if (!node.membership().equals(knownMembership)) {
      knownMembership = node.membership();
      connections.updateMembers(knownMembership);
      upkeep.announce(knownMembership);
      membershipListener.accept(knownMembership);
      LOG.log(System.Logger.Level.INFO, "members: {0}", knownMembership.members());
    }
    if (!leader().equals(knownLeader)) {
      knownLeader = leader();
      LOG.log(System.Logger.Level.INFO, "leader of term {0}: {1}", node.term(), knownLeader);
    }
    node.takeMessages()
        .forEach(m -> connections.send(m.to(), PeerMessageCodec.encode(new PeerMessage.Raft(m))));
    node.takePersistRequests().forEach(writer::submit);
    node.takeRestore().ifPresent(this::restore);
    node.takeCommitted().forEach(this::apply);
    for (ReadResult result : node.takeReadResults()) {
      pending.onReadResult(result.requestId(), result.confirmed(), result.index());
    }
    // While a snapshot is pending or the disk refuses writes, a further one would only be queued.
    if (running && snapshots.isDue() && !node.isSnapshotPending() && !node.isStorageFailed()) {
      byte[] snapshot = stateMachine.snapshot();
      snapshots.onSnapshot(appliedIndex, snapshot.length);
      node.onSnapshotTaken(appliedIndex, snapshot);
      node.takePersistRequests().forEach(writer::submit);
    }
    if (running && node.hasCommitted()) {
      reactor.delay(APPLY_PAUSE_MILLIS, this::processOutputs);
    }
  }

  private void restore(Snapshot snapshot) {
    stateMachine.restore(snapshot.data());
    appliedIndex = snapshot.index();
    snapshots.onSnapshot(appliedIndex, snapshot.data().length);
    pending.onRestored(appliedIndex);
  }

  private void apply(LogEntry entry) {
    byte[] result =
        entry.kind() == EntryKind.COMMAND
            ? stateMachine.apply(entry.index(), entry.data())
            : new byte[0];
    appliedIndex = entry.index();
    snapshots.onApplied(entry);
    pending.onApplied(entry, result);
  }

  /** Runs the action; stops this member if it throws, as the in-memory state is then undefined. */
  private void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (VirtualMachineError e) {
      throw e;
    } catch (RuntimeException | Error e) {
      fail(e);
    }
  }

  /** Stops this member; its process is to end, as only a restart makes it a member again. */
  private void fail(Throwable cause) {
    if (running || waitingForFolder) {
      LOG.log(System.Logger.Level.ERROR, "this member stops after an unexpected failure", cause);
      stop();
      failureListener.accept(cause);
    }
  }

  private long deadlineMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + settings.requestTimeoutMillis();
  }

  private final class PeerEvents implements PeerConnections.Listener {

    @Override
    public void onMessage(VmId from, PeerMessage message) {
      if (!running) {
        return;
      }
      if (message instanceof PeerMessage.Raft m) {
        runGuarded(() -> node.receive(m.message(), System.nanoTime()));
        scheduleOutputs();
      } else {
        forwardedRequests.onMessage(from, message);
        pending.onMessage(message);
      }
    }

    @Override
    public void onMembers(PeerMessage.Members members) {
      members.addresses().forEach(a -> connections.addPeer(a.vmId(), a.endpoint()));
    }

    @Override
    public void onDisconnected(VmId lost) {
      if (!running) {
        return;
      }
      pending.onDisconnected(lost);
      for (Member member : node.membership().members()) {
        if (member.vmId().equals(lost)) {
          node.onUnreachable(member.identity());
        }
      }
    }
  }

  private void send(VmId to, PeerMessage message) {
    connections.send(to, PeerMessageCodec.encode(message));
  }

  private final class LocalOperations implements ForwardedRequestHandler.Operations {

    @Override
    public boolean proposeIfLeader(byte[] command, ProposalListener listener) {
      OptionalLong index = node.propose(command);
      if (index.isEmpty()) {
        return false;
      }
      pending.addAppended(index.getAsLong(), node.term(), listener, deadlineMillis());
      scheduleOutputs();
      return true;
    }

    @Override
    public boolean readIfLeader(ReadListener listener) {
      if (!isLeader()) {
        return false;
      }
      long requestId = nextCallId++;
      pending.addRead(requestId, null, listener, deadlineMillis());
      node.readIndex(requestId);
      scheduleOutputs();
      return true;
    }
  }

  private final class OpeningEvents implements FolderOpening.Listener {

    @Override
    public void onRefused(IOException cause) {
      folderCondition.onRefused(cause);
    }

    @Override
    public void onOpened() {
      folderCondition.onAccepted();
      reactor.execute(() -> opening.takeOpened().ifPresent(ConsensusService.this::run));
    }

    @Override
    public void onFailed(Throwable cause) {
      reactor.execute(() -> fail(cause));
    }
  }

  private final class DiskWriterEvents implements DiskWriter.Listener {

    @Override
    public void onPersisted(long sequence) {
      executeWhileRunning(() -> node.onPersisted(sequence));
    }

    @Override
    public void onUnavailable(IOException cause) {
      folderCondition.onRefused(cause);
      executeWhileRunning(node::onStorageUnavailable);
    }

    @Override
    public void onAvailable() {
      folderCondition.onAccepted();
      executeWhileRunning(node::onStorageAvailable);
    }

    @Override
    public void onEnded(Throwable cause) {
      reactor.execute(() -> fail(cause));
    }

    private void executeWhileRunning(Runnable action) {
      reactor.execute(
          () -> {
            if (running) {
              runGuarded(action);
              processOutputs();
            }
          });
    }
  }
}
