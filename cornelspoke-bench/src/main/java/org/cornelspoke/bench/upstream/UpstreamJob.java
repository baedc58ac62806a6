package org.cornelspoke.bench.upstream;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.bench.http.ResponseBody;
import org.cornelspoke.bench.http.WireCall;
import org.cornelspoke.bench.http.WireClient;
import org.cornelspoke.bench.http.WireExchange;
import org.cornelspoke.bench.http.WireFormat;
import org.cornelspoke.bench.http.WireMessage;
import org.cornelspoke.model.Endpoint;

/** One request in a stand-in upstream: waits for its service time, makes nested calls, answers. */
final class UpstreamJob {

  private static final long NESTED_TIMEOUT_MILLIS = 10_000;
  private static final String SURPLUS =
      "HTTP/1.1 200 OK\r\nBench-Request-Id: surplus\r\nContent-Length: 7\r\n\r\nsurplus";

  private final NioReactor reactor;
  private final UpstreamBehaviour behaviour;
  private final WireExchange exchange;
  private final WireClient client;
  private final String edgeAddress;
  private final ServiceTime faults;
  private final long deadlineAtMillis;
  private Consumer<RequestEvent.Kind> endListener = kind -> {};
  private ScheduledRunnable work;
  private ScheduledRunnable deadline;
  private WireCall nested;
  private int nestedCount;
  private boolean ended;

  UpstreamJob(
      NioReactor reactor,
      UpstreamBehaviour behaviour,
      WireExchange exchange,
      WireClient client,
      String edgeAddress,
      ServiceTime faults) {
    this.reactor = reactor;
    this.behaviour = behaviour;
    this.exchange = exchange;
    this.client = client;
    this.edgeAddress = edgeAddress;
    this.faults = faults;
    this.deadlineAtMillis =
        exchange
            .request()
            .header("Cornelspoke-Deadline-Millis")
            .flatMap(UpstreamJob::parseLong)
            .map(left -> reactor.currentTimeMillis() + left)
            .orElse(Long.MAX_VALUE);
  }

  WireMessage request() {
    return exchange.request();
  }

  /** Starts the work. The listener learns once how it ended. */
  void run(double serviceMillis, Consumer<RequestEvent.Kind> listener) {
    endListener = listener;
    if (behaviour.stopAtDeadline() && deadlineAtMillis != Long.MAX_VALUE) {
      deadline = reactor.scheduleBackground(deadlineAtMillis, this::deadlinePassed);
    }
    long millis = Math.round(serviceMillis) + behaviour.delayMillis();
    Iterator<NestedCall> calls =
        behaviour.nestedCalls().stream()
            .filter(call -> request().path().startsWith(call.whenPathPrefix()))
            .iterator();
    if (millis == 0) {
      callNext(calls);
    } else {
      work = reactor.delay(millis, () -> callNext(calls));
    }
  }

  void callerLeft() {
    if (behaviour.stopWhenCancelled()) {
      end(RequestEvent.Kind.CANCELLED);
    }
  }

  private void callNext(Iterator<NestedCall> calls) {
    if (ended) {
      return;
    }
    if (!calls.hasNext()) {
      answer();
      return;
    }
    NestedCall call = calls.next();
    byte[] bytes =
        WireFormat.request(call.method(), call.path(), edgeAddress, nestedHeaders(), new byte[0]);
    nested =
        client.start(Endpoint.parse(edgeAddress).toSocketAddress(), bytes, NESTED_TIMEOUT_MILLIS);
    nested
        .response()
        .whenComplete(
            (answer, e) -> {
              if (e == null && answer.status() < 300) {
                callNext(calls);
              } else if (!ended) {
                String cause = e == null ? "status " + answer.status() : String.valueOf(e);
                end(RequestEvent.Kind.COMPLETED);
                exchange.respond(500, "nested call " + call.path() + " failed: " + cause);
              }
            });
  }

  private Map<String, String> nestedHeaders() {
    Map<String, String> headers = new LinkedHashMap<>();
    request()
        .header("Cornelspoke-Context")
        .ifPresent(context -> headers.put("Cornelspoke-Context", context));
    nestedCount++;
    headers.put(
        "Bench-Request-Id", request().header("Bench-Request-Id").orElse("") + "/" + nestedCount);
    if (deadlineAtMillis != Long.MAX_VALUE) {
      long left = Math.max(1, deadlineAtMillis - reactor.currentTimeMillis());
      headers.put("Cornelspoke-Deadline-Millis", Long.toString(left));
    }
    return headers;
  }

  private void answer() {
    String id = request().header("Bench-Request-Id").orElse("");
    byte[] body = ResponseBody.create(id, behaviour.bodyBytes());
    Map<String, String> headers =
        Map.of("Bench-Request-Id", id, "Bench-Body-Bytes", Integer.toString(body.length));
    if (faults.happens(behaviour.dropProbability())) {
      end(RequestEvent.Kind.CUT);
      exchange.closeWithoutResponse();
      return;
    }
    byte[] whole = WireFormat.response(200, headers, body);
    if (faults.happens(behaviour.truncateProbability())) {
      end(RequestEvent.Kind.CUT);
      exchange.sendRawAndClose(Arrays.copyOf(whole, whole.length - body.length / 2 - 1));
      return;
    }
    if (faults.happens(behaviour.surplusProbability())) {
      whole = ResponseBody.concat(whole, SURPLUS);
    }
    end(RequestEvent.Kind.COMPLETED);
    exchange.sendRaw(whole);
  }

  private void deadlinePassed() {
    if (!ended) {
      end(RequestEvent.Kind.CANCELLED);
      exchange.respond(504, "deadline passed");
    }
  }

  /** Must be called before the answer is sent, so that the log line precedes the answer. */
  private void end(RequestEvent.Kind kind) {
    if (ended) {
      return;
    }
    ended = true;
    if (work != null) {
      work.cancel();
    }
    if (deadline != null) {
      deadline.cancel();
    }
    if (nested != null) {
      nested.cancel();
    }
    endListener.accept(kind);
  }

  private static Optional<Long> parseLong(String text) {
    try {
      return Optional.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
