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
 * Sends requests with a fixed number in flight and measures the responses.
 *
 * <p>Single use: call {@link #start}, {@link #await} and {@link #stop} in this order.
 */
final class LoadRun {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);

  private final LoadPlan plan;
  private final int first;
  private final int count;
  private final LoadResults results;
  private final SseClient streaming;
  private final HttpClient client;
  private final AtomicInteger sent = new AtomicInteger();
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
   * Creates a run without starting it.
   *
   * @param plan the parameters of the run
   * @param first the number of the first request, which selects its prompt
   * @param count the number of requests to send
   * @param results receives the measurements
   */
  static LoadRun of(LoadPlan plan, int first, int count, LoadResults results) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setReadTimeout(READ_TIMEOUT);
    configuration.setReadIdleTimeout(READ_TIMEOUT);
    try {
      HttpClient client = HttpClient.create(plan.url().toURL(), configuration);
      return new LoadRun(plan, first, count, results, client, (SseClient) client);
    } catch (MalformedURLException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "--url is not a valid URL")
          .withCause(e);
    }
  }

  /**
   * Sends the first request of each worker; a worker sends its next one when the previous one ends.
   */
  void start() {
    for (int i = 0; i < plan.concurrency(); i++) {
      sendNext();
    }
  }

  /** Waits until all requests have ended or the time limit has passed. */
  void await(Duration limit) throws InterruptedException {
    if (!workers.await(limit.toMillis(), TimeUnit.MILLISECONDS)) {
      stopping = true;
    }
  }

  /** Stops sending and closes all connections. */
  void stop() {
    stopping = true;
    client.close();
  }

  private void sendNext() {
    int number = sent.getAndIncrement();
    if (stopping || number >= count) {
      workers.countDown();
      return;
    }
    String prompt = plan.prompt(first + number);
    LoadCall call = new LoadCall(new LoadAnswer(prompt), results, System::nanoTime, this::sendNext);
    MutableHttpRequest<byte[]> request = request(prompt);
    if (plan.stream()) {
      streaming.eventStream(request).subscribe(call);
    } else {
      Flux.from(client.retrieve(request, byte[].class))
          .subscribe(call::onCompletion, call::onFailure);
    }
  }

  private MutableHttpRequest<byte[]> request(String prompt) {
    byte[] body = StandinJson.write(LoadBody.of(plan, prompt));
    MutableHttpRequest<byte[]> request =
        HttpRequest.POST("/v1/chat/completions", body).contentType(MediaType.APPLICATION_JSON_TYPE);
    return plan.key().isEmpty() ? request : request.bearerAuth(plan.key());
  }
}
