package io.snipeloom.daemon;

import io.snipeloom.coordination.BillLine;
import io.snipeloom.coordination.BudgetBalance;
import io.snipeloom.coordination.BudgetReader;
import io.snipeloom.coordination.ConfigurationAuthority;
import io.snipeloom.coordination.FleetStatus;
import io.snipeloom.coordination.HolderBalance;
import io.snipeloom.coordination.InMemoryConfigurationAuthority;
import io.snipeloom.coordination.LedgerReader;
import io.snipeloom.coordination.OperatorActions;
import io.snipeloom.coordination.StatusReader;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDiff;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationForm;
import io.snipeloom.state.ConfigurationSamples;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Zone;
import io.snipeloom.transport.HttpHost;
import io.snipeloom.transport.HttpLimits;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * A fake of what an administration reads and changes: a sample configuration, one budget balance,
 * two bill lines and the operator actions so far. The administration has two operators.
 */
final class FakeFleet implements BudgetReader, LedgerReader, StatusReader, OperatorActions {
  static final String TOKEN = "token-of-amina";
  static final String OTHER_TOKEN = "token-of-baraka";

  final InMemoryConfigurationAuthority authority = new InMemoryConfigurationAuthority();
  final List<BillLine> billLines = new ArrayList<>();
  final List<String> actions = new ArrayList<>();
  volatile boolean logUnavailable;

  FakeFleet() {
    authority.publish(
        new ConfigurationChange(
            -1,
            "amina",
            ConfigurationDiff.between(
                    ConfigurationDocument.empty(),
                    -1,
                    ConfigurationForm.of(ConfigurationSamples.document()))
                .edits()));
    billLines.add(billLine(0, "one", 10));
    billLines.add(billLine(1, "two", 20));
  }

  static BillLine billLine(long number, String key, long tokens) {
    return new BillLine(
        number,
        number,
        RequestKey.of(CustomerId.of("acme"), key),
        BudgetId.of("acme-main"),
        RequestClassId.of("draft"),
        tokens,
        1_000);
  }

  Administration administration() {
    return new Administration(
        new InterruptibleAuthority(),
        this,
        this,
        this,
        this,
        OperatorTokens.of(
            List.of(
                new OperatorTokens.Credential("amina", OperatorTokens.hash(TOKEN)),
                new OperatorTokens.Credential("baraka", OperatorTokens.hash(OTHER_TOKEN)))));
  }

  HttpHost startHost(Object... moreBeans) {
    List<Object> beans = new ArrayList<>(List.of(moreBeans));
    beans.add(administration());
    HttpHost host =
        HttpHost.of(
            Administration.SURFACE,
            "127.0.0.1",
            HttpHost.ANY_PORT,
            HttpLimits.standard(),
            beans.toArray());
    host.start();
    return host;
  }

  @Override
  public Optional<BudgetBalance> balance(BudgetId budget) {
    return balances(null, 1).stream()
        .filter(balance -> balance.budget().equals(budget))
        .findFirst();
  }

  @Override
  public List<BudgetBalance> balances(BudgetId after, int limit) {
    if (after != null) {
      return List.of();
    }
    return List.of(
        new BudgetBalance(
            BudgetId.of("acme-main"),
            CustomerId.of("acme"),
            1,
            1_000,
            900,
            List.of(new HolderBalance(Incarnation.of("router-1#a"), 70, false)),
            30,
            30,
            0));
  }

  @Override
  public List<BillLine> lines(long from, int limit) {
    return billLines.stream().skip(from).limit(limit).toList();
  }

  @Override
  public FleetStatus status() {
    return new FleetStatus(
        Incarnation.of("router-1#a"), Zone.of("zone-a"), true, 1, 0, 5, List.of());
  }

  @Override
  public CompletionStage<Long> writeOff(Incarnation holder, String operator) {
    return record("write-off " + holder + " by " + operator);
  }

  @Override
  public CompletionStage<Long> liftConviction(String fingerprint, String operator) {
    return record("lift " + fingerprint + " by " + operator);
  }

  @Override
  public CompletionStage<Long> order(InstanceId target, EngineOrder order, String operator) {
    return record(order.action() + " " + order.subject() + " at " + target + " by " + operator);
  }

  private CompletionStage<Long> record(String action) {
    actions.add(action);
    return CompletableFuture.completedFuture(42L);
  }

  /** Publishes to the authority of the fleet, or fails while the log is unavailable. */
  private final class InterruptibleAuthority implements ConfigurationAuthority {
    @Override
    public ConfigurationDocument current() {
      return authority.current();
    }

    @Override
    public CompletionStage<PublishResult> publish(ConfigurationChange change) {
      return logUnavailable
          ? CompletableFuture.failedStage(
              SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "the log did not answer")
                  .withRetryAfter(Duration.ofMillis(1_500)))
          : authority.publish(change);
    }
  }
}
