package io.snipeloom.standin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.sse.SseClient;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.net.MalformedURLException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Flux;

/**
 * Sends requests with a fixed number in flight and measures the answers.
 *
 * <p>Used once: {@link #start}, {@link #await}, {@link #stop}.
 */
final class LoadRun {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);

  private final LoadPlan plan;
  private final int first;
  private final int count;
  private final LoadResults results;
  private final SseClient streaming;
  private final HttpClient client;
  private final AtomicInteger issued = new AtomicInteger();
  private final CountDownLatch workers;

  private volatile boolean stopping;

  private LoadRun(
      LoadPlan plan,
      int first,
      int count,
      LoadResults results,
      HttpClient client,
      SseClient streaming) {
    this.plan = plan;
    this.first = first;
    this.count = count;
    this.results = results;
    this.client = client;
    this.streaming = streaming;
    this.workers = new CountDownLatch(plan.concurrency());
  }

  /**
   * Returns a run that is not started yet.
   *
   * @param plan what to send
   * @param first the number of the first request
   * @param count the number of requests
   * @param results takes the measurements
   */
  static LoadRun of(LoadPlan plan, int first, int count, LoadResults results) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setReadTimeout(READ_TIMEOUT);
    configuration.setReadIdleTimeout(READ_TIMEOUT);
    try {
      HttpClient client = HttpClient.create(plan.url().toURL(), configuration);
      return new LoadRun(plan, first, count, results, client, (SseClient) client);
    } catch (MalformedURLException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "--url is not an HTTP address")
          .withCause(e);
    }
  }

  /** Starts all workers. */
  void start() {
    for (int i = 0; i < plan.concurrency(); i++) {
      next();
    }
  }

  /** Waits until all requests have ended or the time is up. */
  void await(Duration limit) throws InterruptedException {
    if (!workers.await(limit.toMillis(), TimeUnit.MILLISECONDS)) {
      stopping = true;
    }
  }

  /** Closes all connections. */
  void stop() {
    stopping = true;
    client.close();
  }

  private void next() {
    int number = issued.getAndIncrement();
    if (stopping || number >= count) {
      workers.countDown();
      return;
    }
    String prompt = plan.prompt(first + number);
    LoadCall call = new LoadCall(new LoadAnswer(prompt), results, System::nanoTime, this::next);
    MutableHttpRequest<byte[]> request = request(prompt);
    if (plan.stream()) {
      streaming.eventStream(request).subscribe(call);
    } else {
      Flux.from(client.retrieve(request, byte[].class)).subscribe(call::whole, call::failed);
    }
  }

  private MutableHttpRequest<byte[]> request(String prompt) {
    byte[] body = StandinJson.write(LoadBody.of(plan, prompt));
    MutableHttpRequest<byte[]> request =
        HttpRequest.POST("/v1/chat/completions", body).contentType(MediaType.APPLICATION_JSON_TYPE);
    return plan.key().isEmpty() ? request : request.bearerAuth(plan.key());
  }
}
