package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import io.snipeloom.client.Instance;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.HttpHost;

/** The HTTP interface of the instance list stand-in. */
@Controller("/instances")
@Consumes(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = InstancesController.SURFACE)
final class InstancesController {
  static final String SURFACE = "standin-instances";

  private final InstanceTable table;
  private final FaultControl control;

  InstancesController(InstanceTable table, FaultControl control) {
    this.table = table;
    this.control = control;
  }

  @Get
  byte[] list() {
    return StandinJson.write(table.visible());
  }

  @Put("/{id}")
  void put(String id, @Body byte[] body) {
    Instance instance = StandinJson.read(body, Instance.class);
    if (!InstanceId.of(id).equals(instance.id())) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "/id must equal the id in the path");
    }
    if (instance.role() == null || instance.zone() == null || instance.address() == null) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST, "/role, /zone and /address are required");
    }
    table.put(instance, lagMillis());
  }

  @Delete("/{id}")
  void remove(String id) {
    table.remove(InstanceId.of(id), lagMillis());
  }

  @Post("/{id}/leaving")
  void leaving(String id) {
    table.markLeaving(InstanceId.of(id), lagMillis());
  }

  private long lagMillis() {
    return control.faults().lagMillis();
  }
}
