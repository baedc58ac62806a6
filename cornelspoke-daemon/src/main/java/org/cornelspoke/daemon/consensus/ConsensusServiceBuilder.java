package org.cornelspoke.daemon.consensus;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.StateMachine;
import org.cornelspoke.state.log.FileDisk;

/** Builder of {@link ConsensusService}. */
public final class ConsensusServiceBuilder {
  final NioReactor reactor;
  final Map<VmId, Endpoint> peers = new HashMap<>();
  VmId vmId;
  Endpoint peerAddress;
  Path dataFolder;
  StateMachine stateMachine;
  DiskOpener diskOpener = FileDisk::new;
  ConsensusSettings settings = ConsensusSettings.DEFAULT;
  MetricRegistry metricRegistry = new MetricRegistry();
  boolean mayFormGroup = true;
  OptionalInt targetVoters = OptionalInt.empty();
  Consumer<Membership> membershipListener = membership -> {};
  Runnable openListener = () -> {};
  Consumer<Throwable> failureListener = cause -> {};

  ConsensusServiceBuilder(NioReactor reactor) {
    this.reactor = reactor;
  }

  /** Sets this VM's id and the address at which the other control VMs connect to it. */
  public ConsensusServiceBuilder withVm(VmId id, Endpoint address) {
    this.vmId = id;
    this.peerAddress = address;
    return this;
  }

  /** Adds another control VM of the settings. */
  public ConsensusServiceBuilder withPeer(VmId id, Endpoint address) {
    peers.put(id, address);
    return this;
  }

  /** Sets whether an empty VM may form a group with the other VMs of the settings. */
  public ConsensusServiceBuilder withGroupFormation(boolean allowed) {
    this.mayFormGroup = allowed;
    return this;
  }

  /**
   * Lets the leader add connected VMs and remove the members that they replace.
   *
   * @param newTargetVoters number of voters that the group should have
   */
  public ConsensusServiceBuilder withAutomaticMembership(int newTargetVoters) {
    this.targetVoters = OptionalInt.of(newTargetVoters);
    return this;
  }

  /** Sets the listener that receives each new membership on the control thread. */
  public ConsensusServiceBuilder withMembershipListener(Consumer<Membership> listener) {
    this.membershipListener = listener;
    return this;
  }

  /**
   * Sets the listener that is called once on the control thread when the data folder is open and
   * locked, at the start or later.
   */
  public ConsensusServiceBuilder withOpenListener(Runnable listener) {
    this.openListener = listener;
    return this;
  }

  /**
   * Sets the listener that is called on the control thread after the member has stopped because of
   * a failure that only a restart of the process can clear.
   */
  public ConsensusServiceBuilder withFailureListener(Consumer<Throwable> listener) {
    this.failureListener = listener;
    return this;
  }

  /** Sets the folder that holds log, vote, identity and snapshots. */
  public ConsensusServiceBuilder withDataFolder(Path folder) {
    this.dataFolder = folder;
    return this;
  }

  /** Replaces the access to the data folder, which is {@link FileDisk} by default. */
  public ConsensusServiceBuilder withDiskOpener(DiskOpener opener) {
    this.diskOpener = opener;
    return this;
  }

  /** Sets the state machine to which committed commands are applied. */
  public ConsensusServiceBuilder withStateMachine(StateMachine machine) {
    this.stateMachine = machine;
    return this;
  }

  /** Replaces the default settings. */
  public ConsensusServiceBuilder withSettings(ConsensusSettings newSettings) {
    this.settings = newSettings;
    return this;
  }

  /** Sets the registry for the metrics whose names start with {@code consensus.}. */
  public ConsensusServiceBuilder withMetrics(MetricRegistry registry) {
    this.metricRegistry = registry;
    return this;
  }

  /**
   * Creates the service.
   *
   * @throws IllegalArgumentException if a required value is missing
   */
  public ConsensusService build() {
    return new ConsensusService(this);
  }
}
