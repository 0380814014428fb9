package io.snipeloom.edge;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;

/** When a replica writes the copy of an answer. */
enum StutterMoment {
  IN_SAME_WRITE {
    @Override
    void writeFirst(Socket socket, String answer, String copy) throws IOException {
      FakeReplica.write(socket, answer + copy);
    }
  },
  WHILE_IDLE {
    @Override
    void writeFirst(Socket socket, String answer, String copy)
        throws IOException, InterruptedException {
      FakeReplica.write(socket, answer);
      pause();
      FakeReplica.write(socket, copy);
    }
  },
  HALF_IN_SAME_WRITE {
    @Override
    void writeFirst(Socket socket, String answer, String copy) throws IOException {
      FakeReplica.write(socket, answer + firstHalf(copy));
    }

    @Override
    void writeNext(Socket socket, String answer, String copy) throws IOException {
      FakeReplica.write(socket, secondHalf(copy) + answer);
    }
  },
  HALF_WHILE_IDLE {
    @Override
    void writeFirst(Socket socket, String answer, String copy)
        throws IOException, InterruptedException {
      FakeReplica.write(socket, answer);
      pause();
      FakeReplica.write(socket, firstHalf(copy));
    }

    @Override
    void writeNext(Socket socket, String answer, String copy) throws IOException {
      FakeReplica.write(socket, secondHalf(copy) + answer);
    }
  },
  BEFORE_NEXT_ANSWER {
    @Override
    void writeNext(Socket socket, String answer, String copy)
        throws IOException, InterruptedException {
      FakeReplica.write(socket, copy);
      pause();
      FakeReplica.write(socket, answer);
    }
  },
  IN_WRITE_OF_NEXT_ANSWER {
    @Override
    void writeNext(Socket socket, String answer, String copy) throws IOException {
      FakeReplica.write(socket, copy + answer);
    }
  },
  AFTER_NEXT_HEAD {
    @Override
    boolean splitsNextAnswer() {
      return true;
    }

    @Override
    void writeNext(Socket socket, String answer, String copy)
        throws IOException, InterruptedException {
      writeInside(socket, answer, copy, endOfHead(answer));
    }
  },
  INSIDE_NEXT_BODY {
    @Override
    boolean splitsNextAnswer() {
      return true;
    }

    @Override
    void writeNext(Socket socket, String answer, String copy)
        throws IOException, InterruptedException {
      writeInside(socket, answer, copy, endOfHead(answer) + StutterCase.Framing.SECOND_CHUNK_AT);
    }
  };

  /** The time in which an instance reads what a replica has written. */
  static final long READ_MILLIS = 25;

  /** Returns whether the copy is written before the next request can be sent. */
  boolean isBeforeNextRequest() {
    return this == IN_SAME_WRITE || this == WHILE_IDLE;
  }

  /** Returns whether the copy stands inside the next answer, which must be sent in chunks then. */
  boolean splitsNextAnswer() {
    return false;
  }

  /** Writes the first answer to a request, and what is due of the copy. */
  void writeFirst(Socket socket, String answer, String copy)
      throws IOException, InterruptedException {
    FakeReplica.write(socket, answer);
  }

  /** Writes the answer to the next request on the connection, and the rest of the copy. */
  void writeNext(Socket socket, String answer, String copy)
      throws IOException, InterruptedException {
    FakeReplica.write(socket, answer);
  }

  private static void writeInside(Socket socket, String answer, String copy, int at)
      throws IOException, InterruptedException {
    FakeReplica.write(socket, answer.substring(0, at));
    pause();
    FakeReplica.write(socket, copy);
    pause();
    FakeReplica.write(socket, answer.substring(at));
  }

  private static int endOfHead(String answer) {
    return answer.indexOf("\r\n\r\n") + "\r\n\r\n".length();
  }

  private static void pause() throws InterruptedException {
    Thread.sleep(READ_MILLIS);
  }

  private static String firstHalf(String copy) {
    return copy.substring(0, copy.length() / 2);
  }

  private static String secondHalf(String copy) {
    return copy.substring(copy.length() / 2);
  }
}
