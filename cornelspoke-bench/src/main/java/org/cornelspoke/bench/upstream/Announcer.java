package org.cornelspoke.bench.upstream;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cornelspoke.bench.http.WireClient;
import org.cornelspoke.bench.http.WireFormat;
import org.cornelspoke.model.Endpoint;

/** Announces an upstream to its daemon and renews the lease. Belongs to the reactor's thread. */
final class Announcer {

  private static final System.Logger LOGGER = System.getLogger(Announcer.class.getName());
  private static final long CALL_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 250;
  private static final int RENEWALS_PER_LEASE = 3;

  private final NioReactor reactor;
  private final WireClient client;
  private final UpstreamConfig config;
  private ScheduledRunnable next;
  private int slots;
  private boolean announced;
  private boolean stopped;

  Announcer(NioReactor reactor, WireClient client, UpstreamConfig config) {
    this.reactor = reactor;
    this.client = client;
    this.config = config;
  }

  /** Announces now and again before each end of the lease, until {@link #leave} is called. */
  void announce(int newSlots) {
    slots = newSlots;
    if (config.announceAddress() == null || stopped) {
      return;
    }
    if (next != null) {
      next.cancel();
    }
    String body =
        String.format(
            "{\"service\": \"%s\", \"address\": \"%s\", \"slots\": %d, \"leaseMillis\": %d}",
            config.service(), config.address(), slots, config.leaseMillis());
    // Set before the answer arrives, so that a lost answer doesn't end the renewals.
    next = reactor.delayBackground(CALL_TIMEOUT_MILLIS + RETRY_MILLIS, () -> announce(slots));
    post("/v1/announce", body)
        .whenComplete(
            (status, e) -> {
              boolean accepted = e == null && status == 204;
              logChange(accepted, e == null ? "status " + status : String.valueOf(e));
              next.cancel();
              next =
                  reactor.delayBackground(
                      accepted ? config.leaseMillis() / RENEWALS_PER_LEASE : RETRY_MILLIS,
                      () -> announce(slots));
            });
  }

  /** Sends {@code drain} or {@code withdraw}; completes also if the daemon does not answer. */
  Promise<Void> leave(String verb) {
    stopped = true;
    if (next != null) {
      next.cancel();
    }
    if (config.announceAddress() == null) {
      return Promise.complete();
    }
    return post("/v1/" + verb, "{\"service\": \"" + config.service() + "\"}")
        .map((status, e) -> null);
  }

  private Promise<Integer> post(String path, String body) {
    byte[] request =
        WireFormat.request(
            "POST",
            path,
            config.announceAddress(),
            Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8));
    return client
        .call(
            Endpoint.parse(config.announceAddress()).toSocketAddress(),
            request,
            CALL_TIMEOUT_MILLIS)
        .map(answer -> answer.status());
  }

  private void logChange(boolean accepted, String detail) {
    if (accepted != announced) {
      announced = accepted;
      LOGGER.log(
          System.Logger.Level.INFO,
          config.name() + (accepted ? " is announced" : " is not announced: " + detail));
    }
  }
}
