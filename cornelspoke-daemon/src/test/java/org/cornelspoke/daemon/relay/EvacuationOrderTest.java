package org.cornelspoke.daemon.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.daemon.controlclient.ControlClient;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders to evacuate a data centre that are refused, lost or late because of one
 * failure. Relays and control clients use real sockets; the replicated log is in memory.
 */
final class EvacuationOrderTest {

  private static final DataCentreId HERE = new DataCentreId("here");
  private static final ConfigChange EVACUATE = new ConfigChange.EvacuateDataCentre(HERE);
  private static final ConfigChange RESTORE = new ConfigChange.RestoreDataCentre(HERE);
  private static final OperatorId OPERATOR = new OperatorId("platform");
  private static final long EFFECT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long WAIT_SECONDS = 30;

  private final Eventloop control = Eventloop.create();
  private final Thread thread = new Thread(control);
  private final FakeGroup group = new FakeGroup(control, 2);
  private final List<RelayServer> relays = new ArrayList<>();
  private final List<ControlBackend> backends = new ArrayList<>();
  private final List<ControlClient> clients = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    control.keepAlive(true);
    thread.start();
    onControl(
        () -> {
          for (FakeGroup.Member member : group.members) {
            RelayServer relay =
                RelayServer.builder()
                    .withReactor(control)
                    .withVm(member.vm)
                    .withRelayAddress(new Endpoint("127.0.0.1", 0).toSocketAddress())
                    .withPeers(Map.of())
                    .withLog(member)
                    .withMachine(member.machine)
                    .build();
            relay.start();
            relays.add(relay);
            backends.add(new ControlBackend(control, member, member.machine, relay));
          }
          return null;
        });
  }

  @AfterEach
  void stop() throws Exception {
    onControl(
        () -> {
          clients.forEach(ControlClient::stop);
          relays.forEach(RelayServer::stop);
          return null;
        });
    control.keepAlive(false);
    control.execute(() -> {});
    thread.join();
  }

  /** Guards against a refusal of an order whose leader was lost between log and answer. */
  @Test
  void orderWithALostAnswerIsAcceptedByAnotherVm() throws Exception {
    group.loseReplies(Integer.MAX_VALUE);
    assertThrows(
        ProposalFailedException.class, () -> order(0, EVACUATE, System.nanoTime() + SHORT_NANOS));
    List<DataCentreEvacuation> logged = evacuations(1);
    assertThat(logged).hasSize(1);
    group.loseReplies(0);
    isolate(0);

    assertThat(order(1, EVACUATE, deadlineNanos())).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(evacuations(1)).isEqualTo(logged);
  }

  /** Guards against an order that fails because of a change or another order at the same time. */
  @Test
  void ordersAndChangesAtTheSameTimeAreAllAccepted() throws Exception {
    ChangeRequest change =
        new ChangeRequest(
            new RequestId("r1"),
            OPERATOR,
            Optional.empty(),
            1,
            new ConfigChange.CreateAccount(new Account(new AccountId("a"), 5, 5, 1)));
    List<CompletableFuture<ChangeResult>> results = new ArrayList<>();
    onControl(
        () -> {
          long deadline = deadlineNanos();
          results.add(future(backends.get(0).submit(change, deadline)));
          results.add(future(backends.get(0).submitOrder(OPERATOR, EVACUATE, deadline)));
          results.add(future(backends.get(1).submitOrder(OPERATOR, EVACUATE, deadline)));
          return null;
        });
    for (CompletableFuture<ChangeResult> result : results) {
      assertThat(result.get(WAIT_SECONDS, TimeUnit.SECONDS))
          .isInstanceOf(ChangeResult.Accepted.class);
    }
    assertThat(evacuations(0)).hasSize(1);
    assertThat(evacuations(1)).isEqualTo(evacuations(0));
  }

  /** Guards against an order that was held up in the group and overrides a later one. */
  @Test
  void orderThatWasHeldUpDoesNotOverrideALaterOne() throws Exception {
    onControl(run(group::delayProposals));
    assertThrows(
        ProposalFailedException.class, () -> order(0, EVACUATE, System.nanoTime() + SHORT_NANOS));
    onControl(run(group::stopDelaying));
    assertThat(order(1, RESTORE, deadlineNanos())).isInstanceOf(ChangeResult.Accepted.class);

    onControl(run(group::commitDelayedProposals));
    assertThat(evacuations(0)).isEmpty();
    assertThat(evacuations(1)).isEmpty();
  }

  /** Guards against two operators of whom one sees an order that the other has revoked. */
  @Test
  void lastOrderOfTwoOperatorsIsInForceEverywhere() throws Exception {
    for (int i = 0; i < 5; i++) {
      assertThat(order(i % 2, EVACUATE, deadlineNanos())).isInstanceOf(ChangeResult.Accepted.class);
      assertThat(order((i + 1) % 2, RESTORE, deadlineNanos()))
          .isInstanceOf(ChangeResult.Accepted.class);
    }
    assertThat(evacuations(0)).isEmpty();
    assertThat(evacuations(1)).isEmpty();
  }

  /** Guards against an order that is accepted without a quorum. */
  @Test
  void orderWithoutQuorumFails() throws Exception {
    isolate(0);
    assertThrows(
        ProposalFailedException.class, () -> order(0, EVACUATE, System.nanoTime() + SHORT_NANOS));
    assertThat(evacuations(1)).isEmpty();
  }

  /** Guards against a daemon that misses an evacuation because its relay is cut off. */
  @Test
  void evacuationReachesADaemonWhoseRelayIsCutOff() throws Exception {
    ControlClient client = client();
    await(() -> client.isFresh(System.nanoTime()));
    isolate(0);
    assertThat(order(1, EVACUATE, deadlineNanos())).isInstanceOf(ChangeResult.Accepted.class);
    long acknowledgedNanos = System.nanoTime();
    await(() -> client.current().isEvacuated(HERE));
    assertThat(System.nanoTime() - acknowledgedNanos).isLessThan(EFFECT_NANOS);

    assertThat(order(1, RESTORE, deadlineNanos())).isInstanceOf(ChangeResult.Accepted.class);
    await(() -> !client.current().isEvacuated(HERE));
  }

  /** Returns a client with the freshness bound of the platform. */
  private ControlClient client() throws Exception {
    return onControl(
        () -> {
          ControlClient client =
              ControlClient.builder()
                  .withReactor(control)
                  .withDaemon(new DaemonId("d1"))
                  .withDataCentre(HERE)
                  .withRelays(relays.stream().map(RelayServer::boundAddress).toList())
                  .withServices(Set.of(new ServiceName("svc")))
                  .withFreshnessBoundMillis(3_000)
                  .build();
          clients.add(client);
          client.start();
          return client;
        });
  }

  private void isolate(int member) throws Exception {
    onControl(run(() -> group.members.get(member).isolated = true));
  }

  private List<DataCentreEvacuation> evacuations(int member) throws Exception {
    return onControl(() -> group.members.get(member).machine.config().evacuations());
  }

  private ChangeResult order(int vm, ConfigChange order, long deadlineNanos) throws Exception {
    CompletableFuture<ChangeResult> result =
        onControl(() -> future(backends.get(vm).submitOrder(OPERATOR, order, deadlineNanos)));
    try {
      return result.get(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw (Exception) e.getCause();
    }
  }

  private static <T> CompletableFuture<T> future(Promise<T> promise) {
    CompletableFuture<T> future = new CompletableFuture<>();
    promise.whenResult(future::complete).whenException(future::completeExceptionally);
    return future;
  }

  private static Callable<Void> run(Runnable action) {
    return () -> {
      action.run();
      return null;
    };
  }

  private static long deadlineNanos() {
    return System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long endNanos = deadlineNanos();
    while (!condition.call()) {
      assertThat(System.nanoTime()).isLessThan(endNanos);
      Thread.sleep(5);
    }
  }

  private <T> T onControl(Callable<T> call) throws Exception {
    CompletableFuture<T> future = new CompletableFuture<>();
    control.execute(
        () -> {
          try {
            future.complete(call.call());
          } catch (Exception e) {
            future.completeExceptionally(e);
          }
        });
    return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
