package io.snipeloom.coordination;

/** The few back ends that probably hold a prefix; not thread-safe. */
final class PrefixMatches {
  private static final int LIMIT = 8;

  private final BackEnd[] backEnds = new BackEnd[LIMIT];
  private final double[] blocks = new double[LIMIT];
  private int count;

  /**
   * Adds a back end, or raises the blocks of one that is present.
   *
   * @param backEnd the back end
   * @param held the blocks that it probably holds
   */
  void add(BackEnd backEnd, double held) {
    for (int i = 0; i < count; i++) {
      if (backEnds[i] == backEnd) {
        blocks[i] = Math.max(blocks[i], held);
        return;
      }
    }
    int place = count < LIMIT ? count++ : smallest();
    if (backEnds[place] == null || blocks[place] < held) {
      backEnds[place] = backEnd;
      blocks[place] = held;
    }
  }

  int count() {
    return count;
  }

  BackEnd backEnd(int index) {
    return backEnds[index];
  }

  /**
   * Returns the blocks that a back end probably holds.
   *
   * @param backEnd the back end
   * @return the blocks; 0 if it is not among the matches
   */
  double blocks(BackEnd backEnd) {
    for (int i = 0; i < count; i++) {
      if (backEnds[i] == backEnd) {
        return blocks[i];
      }
    }
    return 0;
  }

  private int smallest() {
    int smallest = 0;
    for (int i = 1; i < LIMIT; i++) {
      if (blocks[i] < blocks[smallest]) {
        smallest = i;
      }
    }
    return smallest;
  }
}
