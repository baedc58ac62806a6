package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;

/**
 * One connection to an upstream. It serves one exchange at a time and is reused only after an
 * exchange that left no doubt about where its answer ended.
 */
final class UpstreamConnection implements SocketReader.Sink {

  private static final int MAX_INTERIM_ANSWERS = 8;

  /** Late answers of earlier requests that are skipped before the connection is given up. */
  private static final int MAX_SKIPPED_ANSWERS = 2;

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  /** Upstreams that announce nothing usually keep idle connections for 5 s or more. */
  private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Leaves time for a request to arrive before the upstream closes the connection. */
  private static final double USED_IDLE_PART = 0.8;

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

  private final UpstreamPool pool;
  private final TcpSocket socket;
  private final SocketReader reader;
  private final ReadBuffer in = new ReadBuffer();
  private final ByteBuffer probe = ByteBuffer.allocate(1);
  private UpstreamExchange exchange;
  private ResponseHead head;
  private BodyReader bodyReader;
  private int interimAnswers;
  private int skippedAnswers;
  private boolean writing;
  private boolean closed;
  private long writtenBytes;
  private int reservedBytes;
  private long idleSinceNanos;
  private long idleLimitNanos = DEFAULT_IDLE_NANOS;

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
    if (closed || System.nanoTime() - idleSinceNanos > idleLimitNanos) {
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
    skippedAnswers = 0;
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
    if (exchange != null && bodyReader != null) {
      reserve(bodyReader.reservedBytes());
    }
  }

  int reservedBytes() {
    return reservedBytes;
  }

  /** Gives up an answer that takes more memory than there is; the request may have run. */
  void giveUp() {
    fail();
  }

  private void reserve(int bytes) {
    int change = bytes - reservedBytes;
    reservedBytes = bytes;
    pool.onReserved(change);
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
    reserve(0);
    socket.close();
    pool.onClosed(this);
  }

  private void parse() throws HttpSyntaxException {
    while (exchange != null && readAnswer()) {
      if (isOfOtherRequest() && head.keepAlive() && skippedAnswers < MAX_SKIPPED_ANSWERS) {
        skippedAnswers++;
        head = null;
        pool.onSurplus();
      } else {
        finish();
      }
    }
  }

  /** Returns true once a whole answer has been read. */
  private boolean readAnswer() throws HttpSyntaxException {
    while (head == null) {
      int length = HeadParser.findEnd(in);
      if (length < 0) {
        return false;
      }
      ResponseHead parsed = HeadParser.parseResponse(in.array(), in.head(), length);
      in.consume(length);
      acceptHead(parsed);
    }
    return bodyReader.read(in);
  }

  private boolean isOfOtherRequest() {
    return judge() == AnswerPolicy.Kind.OTHER_REQUEST;
  }

  private AnswerPolicy.Kind judge() {
    return pool.answerPolicy().judge(exchange.request().headers(), head.status(), head.headers());
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
    } else if (!parsed.keepAlive() || pool.answerPolicy().endsWithConnection()) {
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
    AnswerPolicy.Kind kind = judge();
    CallResult answer = result(kind);
    exchange = null;
    reserve(0);
    boolean clean = kind != AnswerPolicy.Kind.UNUSABLE && skippedAnswers == 0;
    if (in.size() > 0) {
      pool.onSurplus();
      close();
    } else if (writing || !clean || !head.keepAlive() || bodyReader.endsWithConnection()) {
      close();
    } else if (socket.isClosed()) {
      close();
    } else {
      idleSinceNanos = System.nanoTime();
      idleLimitNanos = idleLimitNanos(head.headers().get("keep-alive"));
      pool.onIdle(this);
    }
    done.end(answer);
  }

  private CallResult result(AnswerPolicy.Kind kind) {
    Headers headers = head.headers();
    return switch (kind) {
      case NOT_EXECUTED ->
          new CallResult.Refused(RefusalReason.SHED, retryAfterMillis(headers.get("retry-after")));
      case ANSWER ->
          new CallResult.Responded(
              head.status(),
              ForwardedHeaders.ofResponse(headers, isBodyless(head.status())),
              bodyReader.body());
      case OTHER_REQUEST, UNUSABLE -> new CallResult.Failed(RefusalReason.UPSTREAM_FAILED);
    };
  }

  /** Returns how long the connection may be idle; the upstream closes it soon after. */
  private static long idleLimitNanos(String keepAlive) {
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    if (!matcher.find()) {
      return DEFAULT_IDLE_NANOS;
    }
    long announced = TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)));
    return Math.min(DEFAULT_IDLE_NANOS, (long) (announced * USED_IDLE_PART));
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
