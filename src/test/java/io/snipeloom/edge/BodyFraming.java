package io.snipeloom.edge;

/** The ways in which a replica can mark the end of a body. */
enum BodyFraming {
  LENGTH {
    @Override
    String encode(String body) {
      return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
  },
  CHUNKED {
    @Override
    String encode(String body) {
      String size = Integer.toHexString(body.length());
      return "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body + "\r\n" + END_OF_CHUNKS;
    }
  },
  CONNECTION_CLOSE {
    @Override
    String encode(String body) {
      return "\r\n" + body;
    }
  };

  /** The last chunk of a chunked body. */
  static final String END_OF_CHUNKS = "0\r\n\r\n";

  /** Returns the framing headers, the end of the head and the complete body. */
  abstract String encode(String body);
}
