package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;

/**
 * One connection to an upstream. It serves one exchange at a time and is reused only after an
 * exchange that left no doubt about where its answer ended.
 */
final class UpstreamConnection implements SocketReader.Sink {

  private static final int MAX_INTERIM_ANSWERS = 8;
  private static final int SHED_STATUS = 503;
  private static final String SHED_HEADER = "cornelspoke-shed";
  private static final String SHED_VALUE = "1";
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  private final UpstreamPool pool;
  private final TcpSocket socket;
  private final SocketReader reader;
  private final ReadBuffer in = new ReadBuffer();
  private final ByteBuffer probe = ByteBuffer.allocate(1);
  private UpstreamExchange exchange;
  private ResponseHead head;
  private BodyReader bodyReader;
  private int interimAnswers;
  private boolean writing;
  private boolean closed;
  private long writtenBytes;
  private long idleSinceNanos;

  UpstreamConnection(UpstreamPool pool, TcpSocket socket) {
    this.pool = pool;
    this.socket = socket;
    this.reader = new SocketReader(socket, this);
    this.idleSinceNanos = System.nanoTime();
    socket.setInspector(new WriteCounter(count -> writtenBytes += count));
  }

  void start() {
    reader.start();
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns true if no byte of the current request has been accepted by the socket. */
  boolean nothingWritten() {
    return writtenBytes == 0;
  }

  /**
   * Looks for bytes or an end of stream that have arrived but were not yet read. Bytes that arrive
   * on an idle connection belong to no request; without this check the next request could get them
   * as its answer.
   */
  boolean isReusable() {
    if (closed) {
      return false;
    }
    try {
      probe.clear();
      return socket.getSocketChannel().read(probe) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  void send(UpstreamExchange next) {
    exchange = next;
    next.attach(this);
    head = null;
    bodyReader = null;
    interimAnswers = 0;
    writtenBytes = 0;
    writing = true;
    socket
        .write(next.request().encode())
        .whenComplete(
            (result, e) -> {
              writing = false;
              if (e != null) {
                fail();
              }
            });
  }

  @Override
  public void onData(ByteBuf buf) {
    if (closed) {
      return;
    }
    if (exchange == null) {
      pool.onUnexpectedData();
      close();
      return;
    }
    in.append(buf);
    try {
      parse();
    } catch (HttpSyntaxException e) {
      fail();
    }
  }

  @Override
  public void onEnd(boolean clean) {
    if (clean && exchange != null && bodyReader != null && bodyReader.endsWithStream()) {
      finish();
    } else {
      fail();
    }
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    socket.close();
    pool.onClosed(this);
  }

  private void parse() throws HttpSyntaxException {
    while (head == null) {
      int length = HeadParser.findEnd(in);
      if (length < 0) {
        return;
      }
      ResponseHead parsed = HeadParser.parseResponse(in.array(), in.head(), length);
      in.consume(length);
      acceptHead(parsed);
    }
    if (bodyReader.read(in)) {
      finish();
    }
  }

  private void acceptHead(ResponseHead parsed) throws HttpSyntaxException {
    if (parsed.status() < 200) {
      interimAnswers++;
      if (parsed.status() == 101 || interimAnswers > MAX_INTERIM_ANSWERS) {
        throw HttpSyntaxException.malformed("unexpected interim answer");
      }
      return;
    }
    head = parsed;
    if (isBodyless(parsed.status())) {
      bodyReader = BodyReader.none();
    } else if (parsed.chunked()) {
      bodyReader = BodyReader.chunked(pool.maxBodyBytes());
    } else if (parsed.contentLength() >= 0) {
      bodyReader = BodyReader.ofLength(parsed.contentLength(), pool.maxBodyBytes());
    } else if (!parsed.keepAlive()) {
      bodyReader = BodyReader.untilClose(pool.maxBodyBytes());
    } else {
      // Without any length a truncated answer would look complete.
      throw HttpSyntaxException.malformed("answer has no length");
    }
  }

  private boolean isBodyless(int status) {
    return status == 204 || status == 304 || exchange.request().method().equals("HEAD");
  }

  private void finish() {
    UpstreamExchange done = exchange;
    CallResult answer = result();
    exchange = null;
    if (in.size() > 0) {
      pool.onSurplus();
      close();
    } else if (writing || !head.keepAlive() || socket.isClosed()) {
      close();
    } else {
      idleSinceNanos = System.nanoTime();
      pool.onIdle(this);
    }
    done.end(answer);
  }

  private CallResult result() {
    Headers headers = head.headers();
    if (head.status() == SHED_STATUS && SHED_VALUE.equals(headers.get(SHED_HEADER))) {
      return new CallResult.Refused(
          RefusalReason.OVERLOAD, retryAfterMillis(headers.get("retry-after")));
    }
    return new CallResult.Answered(
        head.status(),
        ForwardedHeaders.ofResponse(headers, isBodyless(head.status())),
        bodyReader.body());
  }

  private static long retryAfterMillis(String seconds) {
    boolean valid = seconds != null && seconds.matches("[0-9]{1,5}");
    return valid ? Long.parseLong(seconds) * 1_000 : DEFAULT_RETRY_AFTER_MILLIS;
  }

  private void fail() {
    UpstreamExchange failed = exchange;
    exchange = null;
    boolean notRun = nothingWritten();
    close();
    if (failed != null) {
      failed.end(
          notRun
              ? new CallResult.Refused(RefusalReason.NO_TARGET, 0)
              : new CallResult.Failed(RefusalReason.UPSTREAM_FAILED));
    }
  }
}
