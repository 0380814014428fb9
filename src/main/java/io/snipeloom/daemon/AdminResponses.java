package io.snipeloom.daemon;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.snipeloom.state.ConfigurationJson;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.SnipeloomException;

/** Builds the responses of the administration API and checks common request parameters. */
final class AdminResponses {
  private static final int MAX_PAGE_SIZE = 1_000;

  private AdminResponses() {}

  static MutableHttpResponse<byte[]> json(Object value) {
    return json(ConfigurationJson.render(value));
  }

  static MutableHttpResponse<byte[]> json(byte[] body) {
    return HttpResponse.ok(body)
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .header(HttpHeaders.CACHE_CONTROL, "no-store");
  }

  static MutableHttpResponse<byte[]> publishResponse(PublishResult result) {
    if (result instanceof PublishResult.Refused refused) {
      throw refused.toException().withOrigin("publish", "");
    }
    long offset = ((PublishResult.Accepted) result).offset();
    return json(new OffsetBody(offset)).header(HttpHeaders.ETAG, etag(offset));
  }

  static String etag(long offset) {
    return "\"" + offset + "\"";
  }

  static long parseEtag(String header, String tag) {
    if (tag == null || !tag.matches("\"(-1|[0-9]{1,18})\"")) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST,
          header + " must be the ETag of the configuration on which the change is based");
    }
    return Long.parseLong(tag.substring(1, tag.length() - 1));
  }

  static int checkedPageSize(int limit) {
    if (limit < 1 || limit > MAX_PAGE_SIZE) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST,
          "limit must be 1 to %d but was %d".formatted(MAX_PAGE_SIZE, limit));
    }
    return limit;
  }

  static SnipeloomException notFound(String what) {
    return SnipeloomException.of(ErrorCode.NOT_FOUND, "there is no " + what);
  }
}
