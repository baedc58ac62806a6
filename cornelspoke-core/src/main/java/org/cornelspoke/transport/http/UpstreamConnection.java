package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;

/**
 * One connection to an upstream. It serves one exchange at a time and is reused only after an
 * exchange whose response had an unambiguous end.
 */
final class UpstreamConnection implements SocketReader.Sink {

  private static final int MAX_INTERIM_RESPONSES = 8;

  /** Late responses to earlier requests that are skipped before the connection is closed. */
  private static final int MAX_SKIPPED_RESPONSES = 2;

  /** Refusals after which a connection is closed, because it remembers each refused request. */
  private static final int MAX_REFUSALS = 32;

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  /** Upstreams that send no {@code Keep-Alive} usually keep idle connections for 5 s or more. */
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Fraction of the announced keep-alive timeout that is used, so that a request still arrives
   * before the upstream closes the connection.
   */
  private static final double KEEP_ALIVE_TIMEOUT_FRACTION = 0.8;

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

  private final UpstreamPool pool;
  private final TcpSocket socket;
  private final SocketReader reader;
  private final ReadBuffer in = new ReadBuffer();
  private final ByteBuffer probe = ByteBuffer.allocate(1);
  private final long connectedAtNanos;
  private UpstreamExchange exchange;
  private ResponseHead head;
  private BodyReader bodyReader;
  private final Set<String> refusedIds = new HashSet<>();
  private int exchanges;
  private int interimResponses;
  private int skippedResponses;
  private boolean writing;
  private boolean closed;
  private long writtenBytes;
  private int reservedBytes;
  private long idleStartNanos;
  private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;

  UpstreamConnection(UpstreamPool pool, TcpSocket socket) {
    this.pool = pool;
    this.socket = socket;
    this.reader = new SocketReader(socket, this);
    this.connectedAtNanos = System.nanoTime();
    this.idleStartNanos = connectedAtNanos;
    socket.setInspector(new WriteCounter(count -> writtenBytes += count));
  }

  void start() {
    reader.start();
  }

  long connectedAtNanos() {
    return connectedAtNanos;
  }

  long idleStartNanos() {
    return idleStartNanos;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns true if the socket has accepted no byte of the current request. */
  boolean nothingWritten() {
    return writtenBytes == 0;
  }

  /**
   * Returns false if the connection has been idle for too long, or if unread bytes or an end of
   * stream have arrived. Bytes that arrive on an idle connection belong to no request; without this
   * check they could be taken for the response to the next request.
   */
  boolean isReusable() {
    if (closed || System.nanoTime() - idleStartNanos > idleTimeoutNanos) {
      return false;
    }
    try {
      probe.clear();
      return socket.getSocketChannel().read(probe) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Returns true if the upstream has refused an earlier attempt of the request here. The refusal of
   * the next attempt could then be a repetition of the earlier one.
   */
  boolean hasRefused(UpstreamRequest request) {
    return !refusedIds.isEmpty()
        && pool.responsePolicy()
            .requestId(request.headers())
            .filter(refusedIds::contains)
            .isPresent();
  }

  void send(UpstreamExchange next) {
    exchange = next;
    exchanges++;
    next.attach(this);
    head = null;
    bodyReader = null;
    interimResponses = 0;
    skippedResponses = 0;
    writtenBytes = 0;
    writing = true;
    BodyWriter.write(socket, next.request().encodeHead(), next.request().body(), bytes -> {})
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
      updateReservedBytes(bodyReader.reservedBytes());
    }
  }

  int reservedBytes() {
    return reservedBytes;
  }

  /**
   * Aborts the exchange because its response exceeds the memory limit of the pool; the request may
   * have been executed.
   */
  void abort() {
    fail();
  }

  private void updateReservedBytes(int bytes) {
    int changeBytes = bytes - reservedBytes;
    reservedBytes = bytes;
    pool.responseMemory().onChange(this, changeBytes);
  }

  @Override
  public void onEnd(boolean clean) {
    if (clean && exchange != null && bodyReader != null && bodyReader.isCompleteAtEndOfStream()) {
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
    updateReservedBytes(0);
    socket.close();
    pool.onClosed(this);
  }

  private void parse() throws HttpSyntaxException {
    while (exchange != null && readResponse()) {
      if (isForOtherRequest() && head.keepAlive() && skippedResponses < MAX_SKIPPED_RESPONSES) {
        skippedResponses++;
        head = null;
        bodyReader = null;
        updateReservedBytes(0);
        pool.onSurplusData();
      } else {
        finish();
      }
    }
  }

  /** Returns true once a complete response has been read. */
  private boolean readResponse() throws HttpSyntaxException {
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

  private boolean isForOtherRequest() {
    return classifyResponse() == ResponsePolicy.Kind.OTHER_REQUEST;
  }

  private ResponsePolicy.Kind classifyResponse() {
    return pool.responsePolicy()
        .classify(exchange.request().headers(), head.status(), head.headers());
  }

  private void acceptHead(ResponseHead parsed) throws HttpSyntaxException {
    if (parsed.status() < 200) {
      interimResponses++;
      if (parsed.status() == 101 || interimResponses > MAX_INTERIM_RESPONSES) {
        throw HttpSyntaxException.malformed("unexpected interim response");
      }
      return;
    }
    head = parsed;
    pool.responsePolicy()
        .notice(exchange.request().headers(), parsed.status(), parsed.headers())
        .ifPresent(exchange::onNotice);
    if (isBodyless(parsed.status())) {
      bodyReader = BodyReader.none();
    } else if (parsed.chunked()) {
      bodyReader = BodyReader.chunked(pool.maxBodyBytes());
    } else if (parsed.contentLength() >= 0) {
      bodyReader = BodyReader.ofLength(parsed.contentLength(), pool.maxBodyBytes());
    } else if (!parsed.keepAlive() || pool.responsePolicy().allowsCloseDelimitedBody()) {
      bodyReader = BodyReader.untilClose(pool.maxBodyBytes());
    } else {
      // Without length information, a truncated response would look complete.
      throw HttpSyntaxException.malformed("response has no length");
    }
  }

  private boolean isBodyless(int status) {
    return status == 204 || status == 304 || exchange.request().method().equals("HEAD");
  }

  private void finish() {
    UpstreamExchange ended = exchange;
    ResponsePolicy.Kind kind = classifyResponse();
    boolean reusable = skippedResponses == 0;
    if (kind == ResponsePolicy.Kind.NOT_EXECUTED) {
      kind = isRefusalOfThisRequest() ? kind : ResponsePolicy.Kind.UNUSABLE;
      reusable &= rememberRefusal();
    }
    reusable &= kind != ResponsePolicy.Kind.UNUSABLE;
    CallResult result = toResult(kind);
    exchange = null;
    updateReservedBytes(0);
    if (in.size() > 0) {
      pool.onSurplusData();
      close();
    } else if (writing || !reusable || !head.keepAlive() || bodyReader.isCloseDelimited()) {
      close();
    } else if (socket.isClosed()) {
      close();
    } else {
      idleStartNanos = System.nanoTime();
      idleTimeoutNanos = idleTimeoutNanos(head.headers().get("keep-alive"));
      pool.onIdle(this);
    }
    ended.end(result);
  }

  /**
   * Returns false if responses name their request, but this one does not and may belong to an
   * earlier exchange.
   */
  private boolean isRefusalOfThisRequest() {
    return exchanges == 1
        || pool.responsePolicy().requestId(head.headers()).isPresent()
        || pool.responsePolicy().requestId(exchange.request().headers()).isEmpty();
  }

  /**
   * Remembers which request was refused.
   *
   * @return false if a repetition of the refusal could be taken for that of a later request
   */
  private boolean rememberRefusal() {
    Optional<String> id = pool.responsePolicy().requestId(head.headers());
    id.ifPresent(refusedIds::add);
    return id.isPresent() && refusedIds.size() < MAX_REFUSALS;
  }

  private CallResult toResult(ResponsePolicy.Kind kind) {
    Headers headers = head.headers();
    return switch (kind) {
      case NOT_EXECUTED ->
          new CallResult.Refused(RefusalReason.SHED, retryAfterMillis(headers.get("retry-after")));
      case RESPONSE ->
          new CallResult.Responded(
              head.status(),
              ForwardedHeaders.ofResponse(headers, isBodyless(head.status())),
              bodyReader.body().toByteArray());
      case OTHER_REQUEST, UNUSABLE -> new CallResult.Failed(RefusalReason.UPSTREAM_FAILED);
    };
  }

  /** Returns how long the connection may be idle; the upstream closes it soon afterwards. */
  private static long idleTimeoutNanos(String keepAlive) {
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    if (!matcher.find()) {
      return DEFAULT_IDLE_TIMEOUT_NANOS;
    }
    long announcedNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)));
    return Math.min(
        DEFAULT_IDLE_TIMEOUT_NANOS, (long) (announcedNanos * KEEP_ALIVE_TIMEOUT_FRACTION));
  }

  private static long retryAfterMillis(String seconds) {
    boolean valid = seconds != null && seconds.matches("[0-9]{1,5}");
    return valid ? Long.parseLong(seconds) * 1_000 : DEFAULT_RETRY_AFTER_MILLIS;
  }

  private void fail() {
    UpstreamExchange failed = exchange;
    exchange = null;
    boolean notExecuted = nothingWritten();
    close();
    if (failed != null) {
      failed.end(
          notExecuted
              ? new CallResult.Refused(RefusalReason.NO_TARGET, 0)
              : new CallResult.Failed(RefusalReason.UPSTREAM_FAILED));
    }
  }
}
