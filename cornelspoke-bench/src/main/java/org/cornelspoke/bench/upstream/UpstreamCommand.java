package org.cornelspoke.bench.upstream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelspoke.bench.BenchCommand;
import org.cornelspoke.bench.http.LoopThread;

/** Runs stand-in upstreams until SIGTERM, which drains and withdraws each of them. */
@Parameters(commandDescription = "Run the stand-in upstreams that a file lists")
public final class UpstreamCommand implements BenchCommand {

  private static final long LEAVE_LIMIT_SECONDS = 15;

  @Parameter(
      names = "--config",
      required = true,
      description = "JSON file with a list of upstreams (see docs/bench.md)")
  private String configFile;

  @Override
  public String name() {
    return "upstream";
  }

  @Override
  public int run() throws IOException, InterruptedException {
    List<UpstreamConfig> configs =
        new ObjectMapper()
            .readValue(Path.of(configFile).toFile(), new TypeReference<List<UpstreamConfig>>() {});
    LoopThread thread = new LoopThread("upstreams");
    List<StandInUpstream> upstreams =
        thread.call(
            () -> {
              List<StandInUpstream> started = new ArrayList<>();
              for (UpstreamConfig config : configs) {
                StandInUpstream upstream = new StandInUpstream(thread.loop(), config);
                upstream.start();
                started.add(upstream);
              }
              return started;
            });
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(thread, upstreams)));
    System.out.println("ready: " + upstreams.size() + " upstreams");
    new CountDownLatch(1).await();
    return 0;
  }

  private static void leave(LoopThread thread, List<StandInUpstream> upstreams) {
    CompletableFuture<Boolean> left = new CompletableFuture<>();
    thread
        .loop()
        .execute(
            () -> {
              List<Promise<Void>> leaving = upstreams.stream().map(StandInUpstream::leave).toList();
              Promises.all(leaving).whenComplete(() -> left.complete(true));
            });
    try {
      left.get(LEAVE_LIMIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      System.err.println("stopped before every upstream had left: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
