package io.snipeloom;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class LayersTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("io.snipeloom");

  @Test
  void layersDependOnlyDownwards() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("state")
        .definedBy("io.snipeloom.state..")
        .layer("protocol")
        .definedBy("io.snipeloom.protocol..")
        .layer("client")
        .definedBy("io.snipeloom.client..")
        .layer("transport")
        .definedBy("io.snipeloom.transport..")
        .layer("coordination")
        .definedBy("io.snipeloom.coordination..")
        .layer("cost")
        .definedBy("io.snipeloom.cost..")
        .layer("routing")
        .definedBy("io.snipeloom.routing..")
        .layer("admission")
        .definedBy("io.snipeloom.admission..")
        .layer("buffering")
        .definedBy("io.snipeloom.buffering..")
        .layer("spend")
        .definedBy("io.snipeloom.spend..")
        .layer("resumption")
        .definedBy("io.snipeloom.resumption..")
        .layer("store")
        .definedBy("io.snipeloom.store..")
        .layer("peer")
        .definedBy("io.snipeloom.peer..")
        .layer("telemetry")
        .definedBy("io.snipeloom.telemetry..")
        .layer("forwarding")
        .definedBy("io.snipeloom.forwarding..")
        .layer("platform")
        .definedBy("io.snipeloom.platform..")
        .layer("edge")
        .definedBy("io.snipeloom.edge..")
        .layer("daemon")
        .definedBy("io.snipeloom.daemon..")
        .layer("standin")
        .definedBy("io.snipeloom.standin..")
        .whereLayer("state")
        .mayNotAccessAnyLayer()
        .whereLayer("protocol")
        .mayOnlyAccessLayers("state")
        .whereLayer("client")
        .mayOnlyAccessLayers("state")
        .whereLayer("transport")
        .mayOnlyAccessLayers("protocol", "state")
        .whereLayer("coordination")
        .mayOnlyAccessLayers("transport", "protocol", "client", "routing", "state")
        .whereLayer("cost")
        .mayOnlyAccessLayers("state")
        .whereLayer("routing")
        .mayOnlyAccessLayers("cost", "state")
        .whereLayer("admission")
        .mayOnlyAccessLayers("cost", "routing", "state")
        .whereLayer("buffering")
        .mayOnlyAccessLayers("routing", "state")
        .whereLayer("spend")
        .mayOnlyAccessLayers("state")
        .whereLayer("resumption")
        .mayOnlyAccessLayers("routing", "state")
        .whereLayer("store")
        .mayOnlyAccessLayers("spend", "resumption", "state")
        .whereLayer("peer")
        .mayOnlyAccessLayers("routing", "spend", "resumption", "telemetry", "state")
        .whereLayer("telemetry")
        .mayNotAccessAnyLayer()
        .whereLayer("forwarding")
        .mayOnlyAccessLayers(
            "admission",
            "buffering",
            "cost",
            "routing",
            "spend",
            "resumption",
            "telemetry",
            "state")
        .whereLayer("platform")
        .mayOnlyAccessLayers("forwarding", "routing", "store", "state")
        .whereLayer("platform")
        .mayOnlyBeAccessedByLayers("edge", "daemon")
        .whereLayer("standin")
        .mayOnlyAccessLayers("transport", "client", "state")
        .check(CLASSES);
  }
}
