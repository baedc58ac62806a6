package org.cornelspoke.bench.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import org.cornelspoke.bench.http.WireClient;
import org.cornelspoke.bench.http.WireExchange;
import org.cornelspoke.bench.http.WireServer;
import org.cornelspoke.model.Endpoint;

/**
 * A back-end process in miniature: a number of slots, a queue, a service time, and faults on
 * demand.
 *
 * <p>Belongs to the thread of its reactor.
 */
public final class StandInUpstream {

  private static final long DRAIN_LIMIT_MILLIS = 10_000;
  private static final long DRAIN_CHECK_MILLIS = 20;

  private final ObjectMapper mapper = new ObjectMapper();
  private final NioReactor reactor;
  private final UpstreamConfig config;
  private final WireServer server;
  private final WireServer controlServer;
  private final WireClient client;
  private final Announcer announcer;
  private final RequestLog log;
  private final ServiceTime serviceTime;
  private final Queue<UpstreamJob> queue = new ArrayDeque<>();
  private final UpstreamCounters counters = new UpstreamCounters();
  private UpstreamBehaviour behaviour;
  private long coldStartAtMillis;
  private int running;

  /**
   * Creates an upstream that does not yet listen.
   *
   * @throws IOException if the log file cannot be opened
   */
  public StandInUpstream(NioReactor reactor, UpstreamConfig config) throws IOException {
    this.reactor = reactor;
    this.config = config;
    this.behaviour = config.startBehaviour();
    this.client = new WireClient(reactor);
    this.announcer = new Announcer(reactor, client, config);
    this.log = new RequestLog(config.name(), config.logFile());
    this.serviceTime = new ServiceTime(config.seed());
    this.server =
        new WireServer(
            reactor, Endpoint.parse(config.address()).toSocketAddress(), this::onRequest);
    this.controlServer =
        new WireServer(
            reactor, Endpoint.parse(config.controlAddress()).toSocketAddress(), this::onControl);
  }

  /**
   * Starts to listen and to announce.
   *
   * @throws IOException if an address is in use
   */
  public void start() throws IOException {
    coldStartAtMillis = reactor.currentTimeMillis();
    server.start();
    controlServer.start();
    announcer.announce(behaviour.slots());
  }

  /** Returns the port on which requests are served. */
  public int port() {
    return server.port();
  }

  /** Returns the port of the control endpoint. */
  public int controlPort() {
    return controlServer.port();
  }

  /** Drains: asks the daemon for no more work, finishes what runs, withdraws and closes. */
  public Promise<Void> leave() {
    SettablePromise<Void> left = new SettablePromise<>();
    long limit = reactor.currentTimeMillis() + DRAIN_LIMIT_MILLIS;
    announcer.leave("drain").whenComplete(() -> awaitIdle(limit, left));
    return left.then(() -> announcer.leave("withdraw")).whenComplete(this::close);
  }

  /** Closes every connection at once. */
  public void close() {
    server.stop();
    controlServer.stop();
    client.close();
  }

  private void awaitIdle(long limitMillis, SettablePromise<Void> idle) {
    if ((running == 0 && queue.isEmpty()) || reactor.currentTimeMillis() > limitMillis) {
      idle.set(null);
    } else {
      reactor.delay(DRAIN_CHECK_MILLIS, () -> awaitIdle(limitMillis, idle));
    }
  }

  private void onRequest(WireExchange exchange) {
    if (exchange.request().path().equals("/health")) {
      exchange.respond(behaviour.healthStatus(), "health");
    } else if (exchange.request().path().equals("/load")) {
      double load =
          behaviour.reportedLoad() < 0 ? running + queue.size() : behaviour.reportedLoad();
      exchange.respond(200, "{\"load\": " + load + "}");
    } else {
      accept(exchange);
    }
  }

  private void accept(WireExchange exchange) {
    counters.received++;
    if (exchange.request().header("Authorization").isPresent()) {
      counters.withAuthorization++;
    }
    boolean full = running >= behaviour.slots() && queue.size() >= behaviour.queueLimit();
    if (full || serviceTime.happens(behaviour.shedProbability())) {
      counters.shed++;
      log.write(RequestEvent.Kind.SHED, exchange.request());
      exchange.respond(503, Map.of("Cornelspoke-Shed", "1", "Retry-After", "1"), new byte[0]);
      return;
    }
    UpstreamJob job =
        new UpstreamJob(reactor, behaviour, exchange, client, config.edgeAddress(), serviceTime);
    exchange.onCancel(() -> onCancel(job));
    queue.add(job);
    startNext();
  }

  private void startNext() {
    while (running < behaviour.slots() && !queue.isEmpty()) {
      UpstreamJob job = queue.remove();
      running++;
      counters.started++;
      log.write(RequestEvent.Kind.STARTED, job.request());
      long age = reactor.currentTimeMillis() - coldStartAtMillis;
      job.run(serviceTime.nextMillis(behaviour, age), kind -> onEnd(job, kind));
    }
  }

  private void onCancel(UpstreamJob job) {
    if (queue.remove(job)) {
      log.write(RequestEvent.Kind.LEFT, job.request());
      counters.cancelled++;
    } else {
      job.callerLeft();
    }
  }

  private void onEnd(UpstreamJob job, RequestEvent.Kind kind) {
    running--;
    if (kind == RequestEvent.Kind.COMPLETED) {
      counters.completed++;
    } else if (kind == RequestEvent.Kind.CANCELLED) {
      counters.cancelled++;
    } else {
      counters.cut++;
    }
    log.write(kind, job.request());
    startNext();
  }

  private void onControl(WireExchange exchange) {
    try {
      if (exchange.request().method().equals("POST")) {
        change(exchange.request().bodyText());
      }
      Map<String, Object> state = new LinkedHashMap<>();
      state.put("name", config.name());
      state.put("running", running);
      state.put("queued", queue.size());
      state.put("counters", counters.asMap());
      state.put("behaviour", behaviour);
      byte[] body = (mapper.writeValueAsString(state) + "\n").getBytes(StandardCharsets.UTF_8);
      exchange.respond(200, Map.of("Content-Type", "application/json"), body);
    } catch (IllegalArgumentException | JsonProcessingException e) {
      exchange.respond(400, e.getMessage() + "\n");
    }
  }

  private void change(String json) throws JsonProcessingException {
    UpstreamBehaviour former = behaviour;
    behaviour = behaviour.with(mapper.readTree(json));
    if (behaviour.coldStartMillis() != former.coldStartMillis()) {
      coldStartAtMillis = reactor.currentTimeMillis();
    }
    if (behaviour.slots() != former.slots()) {
      announcer.announce(behaviour.slots());
    }
    startNext();
  }
}
