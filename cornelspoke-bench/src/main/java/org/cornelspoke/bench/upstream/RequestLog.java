package org.cornelspoke.bench.upstream;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import org.cornelspoke.bench.http.WireMessage;

/**
 * Appends what happened to requests to a file, one JSON object a line. Each line reaches the
 * operating system before the call returns, so that a killed process loses none.
 */
final class RequestLog implements AutoCloseable {

  private final ObjectMapper mapper = new ObjectMapper();
  private final String target;
  private final OutputStream out;

  RequestLog(String target, String file) throws IOException {
    this.target = target;
    this.out =
        file == null
            ? OutputStream.nullOutputStream()
            : Files.newOutputStream(
                Path.of(file), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  void write(RequestEvent.Kind kind, WireMessage request) {
    Optional<ContextIds> ids = request.header("Cornelspoke-Context").flatMap(ContextIds::read);
    RequestEvent event =
        new RequestEvent(
            ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
            target,
            kind,
            request.method(),
            request.path(),
            request.header("Idempotency-Key").orElse(null),
            ids.map(ContextIds::call).orElse(null),
            ids.map(ContextIds::account).orElse(null),
            request.header("Bench-Request-Id").orElse(null),
            request.header("Authorization").isPresent());
    try {
      byte[] line = mapper.writeValueAsBytes(event);
      byte[] ended = new byte[line.length + 1];
      System.arraycopy(line, 0, ended, 0, line.length);
      ended[line.length] = '\n';
      out.write(ended);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
