package org.cornelspoke.bench.load;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelspoke.bench.http.LoopThread;
import org.cornelspoke.bench.upstream.StandInUpstream;
import org.cornelspoke.bench.upstream.UpstreamConfig;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against a load generator that rejects correct responses of the stand-in upstream. */
class LoadRunTest {

  @Test
  void completesEveryRequestToAHealthyStandIn() throws Exception {
    LoadRun.Result result = run("{\"serviceMillis\": 0}");

    assertThat(result.offered()).isAtLeast(50L);
    assertThat(result.completed()).isEqualTo(result.offered());
    assertThat(result.wrongResponses()).isEqualTo(0);
    assertThat(result.statistics().get("surplusAnswers")).isEqualTo(0L);
    assertThat(result.table()).contains("class BULK");
  }

  @Test
  void countsUnsolicitedBytesFromTheStandIn() throws Exception {
    LoadRun.Result result = run("{\"serviceMillis\": 0, \"surplusProbability\": 1}");

    assertThat((long) result.statistics().get("surplusAnswers")).isAtLeast(1L);
    assertThat(result.wrongResponses()).isEqualTo(0);
  }

  private static LoadRun.Result run(String behaviour) throws Exception {
    LoopThread thread = new LoopThread("upstream");
    UpstreamConfig config =
        new UpstreamConfig(
            "u",
            "s",
            "127.0.0.1:0",
            "127.0.0.1:0",
            null,
            null,
            null,
            1,
            0,
            new ObjectMapper().readTree(behaviour));
    StandInUpstream upstream =
        thread.call(
            () -> {
              StandInUpstream created = new StandInUpstream(thread.loop(), config);
              created.start();
              return created;
            });
    List<AttemptRecord> attempts = new ArrayList<>();
    LoadPlan plan =
        new LoadPlan(
            "t",
            9,
            500,
            0,
            List.of("127.0.0.1:" + thread.call(upstream::port)),
            List.of(new LoadPlan.Caller("a", List.of(), 200, 1000, 1000, Map.of())),
            List.of(
                new LoadPlan.CalledRoute(
                    "e", "POST", "/e", TrafficClass.CRITICAL, 1, true, false, 30_000, 10),
                new LoadPlan.CalledRoute(
                    "f", "GET", "/f", TrafficClass.BULK, 1, false, true, 30_000, 0)),
            null,
            null);
    LoadRun.Result result = new LoadRun(plan, attempts::add, false, line -> {}).run();
    thread.call(
        () -> {
          upstream.close();
          return null;
        });
    thread.stop();
    assertThat((long) attempts.size()).isEqualTo(result.offered());
    return result;
  }
}
