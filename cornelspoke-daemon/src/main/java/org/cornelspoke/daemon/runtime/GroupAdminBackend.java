package org.cornelspoke.daemon.runtime;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.daemon.admin.AdminBackend;
import org.cornelspoke.daemon.admin.AttachedDaemons;
import org.cornelspoke.daemon.admin.BackendUnavailableException;
import org.cornelspoke.daemon.admin.ConfigListing;
import org.cornelspoke.daemon.admin.GroupStatus;
import org.cornelspoke.daemon.admin.MembershipRequest;
import org.cornelspoke.daemon.admin.MembershipResult;
import org.cornelspoke.daemon.admin.OperatorTokens;
import org.cornelspoke.daemon.admin.ReadMode;
import org.cornelspoke.daemon.consensus.ConsensusService;
import org.cornelspoke.daemon.consensus.MemberStatus;
import org.cornelspoke.daemon.relay.ControlBackend;
import org.cornelspoke.daemon.relay.DaemonListing;
import org.cornelspoke.daemon.relay.ProposalFailedException;
import org.cornelspoke.daemon.settings.ControlSettings;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.state.quarantine.QuarantineEntry;
import org.cornelspoke.state.registry.Target;

/**
 * Serves the administration API from the control group.
 *
 * <p>Must be used on the control thread only.
 */
final class GroupAdminBackend implements AdminBackend {

  private static final System.Logger LOGGER = System.getLogger(GroupAdminBackend.class.getName());

  private static final long CHANGE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long LISTING_TIMEOUT_MILLIS = 1_000;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final ControlSettings settings;
  private final ConsensusService consensus;
  private final ControlStateMachine stateMachine;
  private final ControlBackend backend;

  GroupAdminBackend(
      ControlSettings settings,
      ConsensusService consensus,
      ControlStateMachine stateMachine,
      ControlBackend backend) {
    this.settings = settings;
    this.consensus = consensus;
    this.stateMachine = stateMachine;
    this.backend = backend;
  }

  @Override
  public Promise<ChangeResult> submit(ChangeRequest request) {
    return backend
        .submit(request, System.nanoTime() + CHANGE_TIMEOUT_NANOS)
        .mapException(e -> toUnavailableException(e, isOutcomeUnknown(e)));
  }

  @Override
  public Promise<ConfigListing> readConfig() {
    return confirmCurrent()
        .map(
            ok -> {
              ConfigState config = stateMachine.config();
              List<ConfigListing.VersionedEntity> entities =
                  config.versionedEntities().stream()
                      .filter(entity -> !entity.isTombstone())
                      .map(
                          entity ->
                              new ConfigListing.VersionedEntity(
                                  entity.revision(), entity.value().orElseThrow()))
                      .toList();
              return new ConfigListing(config.revision(), consensus.appliedIndex(), entities);
            });
  }

  @Override
  public Promise<Optional<OperatorId>> findOperator(String tokenHashHex, ReadMode mode) {
    if (consensus.isWaitingForFolder()) {
      // The operators are not known yet, so that no token can be told to be wrong.
      return Promise.ofException(
          toUnavailableException(
              new IOException(
                  "the data folder of this VM refuses writes: "
                      + consensus.folderRefusalCause().orElse("unknown")),
              false));
    }
    Promise<?> readable = mode == ReadMode.CURRENT ? confirmCurrent() : Promise.complete();
    return readable.map(
        ok ->
            OperatorTokens.find(
                stateMachine.config().entities().stream()
                    .filter(Operator.class::isInstance)
                    .map(Operator.class::cast)
                    .toList(),
                tokenHashHex));
  }

  @Override
  public Promise<List<AuditEntry>> auditEntries(OptionalLong fromSequence, int limit) {
    return confirmCurrent()
        .map(
            ok -> {
              ConfigState config = stateMachine.config();
              long after =
                  fromSequence.isPresent()
                      ? fromSequence.getAsLong() - 1
                      : config.auditSequence() - limit;
              return config.audit(Math.max(0, after), limit);
            });
  }

  @Override
  public Promise<List<Target>> targets() {
    return Promise.of(backend.targets());
  }

  @Override
  public Promise<Boolean> isKnownDataCentre(DataCentreId dataCentre) {
    if (isInAppliedState(dataCentre)) {
      return Promise.of(true);
    }
    return backend
        .daemons(LISTING_TIMEOUT_MILLIS)
        .then(
            listing ->
                listing.daemons().stream().anyMatch(d -> d.dataCentre().equals(dataCentre))
                    ? Promise.of(true)
                    : confirmCurrent().map(ok -> isInAppliedState(dataCentre)));
  }

  @Override
  public Promise<List<QuarantineEntry>> quarantine() {
    return confirmCurrent().map(ok -> List.copyOf(stateMachine.quarantine().entries()));
  }

  @Override
  public Promise<Boolean> release(RequestFingerprint fingerprint, OperatorId operator) {
    return backend
        .release(fingerprint, operator, System.nanoTime() + CHANGE_TIMEOUT_NANOS)
        .mapException(e -> toUnavailableException(e, isOutcomeUnknown(e)))
        .map(
            changed -> {
              if (changed) {
                LOGGER.log(
                    Level.INFO, "event=request-released request={0} by={1}", fingerprint, operator);
              }
              return changed || stateMachine.quarantine().entry(fingerprint).isPresent();
            });
  }

  @Override
  public Promise<AttachedDaemons> attachedDaemons() {
    return backend.daemons(LISTING_TIMEOUT_MILLIS).map(GroupAdminBackend::toAttachedDaemons);
  }

  @Override
  public Promise<GroupStatus> groupStatus() {
    return confirmCurrent().then((ok, e) -> Promise.of(groupStatus(e == null)));
  }

  @Override
  public Promise<MembershipResult> changeMembership(MembershipRequest request) {
    MembershipRequest.Change change = request.change();
    if (!consensus.isLeader()) {
      String leader = consensus.leader().map(VmId::value).orElse("unknown");
      return Promise.of(
          new MembershipResult.Refused("ask the leader for membership changes: " + leader));
    }
    SettablePromise<MembershipResult> promise = new SettablePromise<>();
    MembershipListener listener = new MembershipListener(promise);
    if (change instanceof MembershipRequest.AddLearner addition) {
      consensus.addLearner(addition.vmId(), listener);
      return promise;
    }
    Optional<Member> member = findMember(change.vmId());
    if (member.isEmpty()) {
      return Promise.of(new MembershipResult.Refused(change.vmId() + " is not a member"));
    }
    if (change instanceof MembershipRequest.Promote) {
      consensus.promote(member.get().identity(), listener);
    } else {
      consensus.remove(member.get().identity(), listener);
    }
    return promise;
  }

  private boolean isInAppliedState(DataCentreId dataCentre) {
    EntityId evacuation = DataCentreEvacuation.idOf(dataCentre);
    return settings.dataCentre().equals(dataCentre)
        || backend.targets().stream().anyMatch(t -> t.dataCentre().equals(dataCentre))
        || stateMachine.config().versionedEntities().stream()
            .anyMatch(entity -> entity.id().equals(evacuation));
  }

  private Promise<?> confirmCurrent() {
    return backend
        .readConfig(System.nanoTime() + READ_TIMEOUT_NANOS)
        .mapException(e -> toUnavailableException(e, false));
  }

  private GroupStatus groupStatus(boolean confirmed) {
    return new GroupStatus(
        settings.vmId(),
        consensus.leader(),
        confirmed,
        consensus.term(),
        consensus.appliedIndex(),
        stateMachine.config().revision(),
        Optional.of(stateMachine.config().activePreset()),
        consensus.folderRefusalCause(),
        consensus.members().stream().map(GroupAdminBackend::toGroupMember).toList());
  }

  private Optional<Member> findMember(VmId vmId) {
    return consensus.members().stream()
        .map(MemberStatus::member)
        .filter(member -> member.vmId().equals(vmId))
        .findFirst();
  }

  private static GroupStatus.Member toGroupMember(MemberStatus status) {
    GroupStatus.MemberRole role =
        status.leader()
            ? GroupStatus.MemberRole.LEADER
            : status.member().voter()
                ? GroupStatus.MemberRole.VOTER
                : GroupStatus.MemberRole.LEARNER;
    return new GroupStatus.Member(
        status.member().vmId(),
        status.member().identity().toString(),
        role,
        status.member().peerAddress(),
        status.matchIndex());
  }

  private static AttachedDaemons toAttachedDaemons(DaemonListing listing) {
    return new AttachedDaemons(
        listing.daemons().stream().map(GroupAdminBackend::toDaemonStatus).toList(),
        List.copyOf(listing.missingRelays()));
  }

  private static AttachedDaemons.DaemonStatus toDaemonStatus(DaemonStatus status) {
    return new AttachedDaemons.DaemonStatus(
        status.daemon(),
        status.dataCentre(),
        status.appliedRevision(),
        status.freshnessAgeMillis().orElse(Long.MAX_VALUE),
        status.relay());
  }

  private static boolean isOutcomeUnknown(Exception e) {
    return !(e instanceof ProposalFailedException failed) || failed.isMaybeCommitted();
  }

  private static Exception toUnavailableException(Exception e, boolean outcomeUnknown) {
    return new BackendUnavailableException(e.getMessage(), outcomeUnknown, RETRY_AFTER_SECONDS);
  }

  private record MembershipListener(SettablePromise<MembershipResult> promise)
      implements ReplicatedLog.ProposalListener {

    @Override
    public void onCommitted(long index, byte[] result) {
      promise.set(new MembershipResult.Committed(index));
    }

    @Override
    public void onNotAppended(String cause) {
      promise.set(new MembershipResult.Refused(cause));
    }

    @Override
    public void onUnknown(String cause) {
      promise.setException(new BackendUnavailableException(cause, true, RETRY_AFTER_SECONDS));
    }
  }
}
