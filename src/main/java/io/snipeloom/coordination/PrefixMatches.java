package io.snipeloom.coordination;

/**
 * The back ends that probably hold a prefix of one prompt, limited to those that hold the most
 * blocks. Not thread-safe.
 */
final class PrefixMatches {
  private static final int MAX_MATCHES = 8;

  private final BackEnd[] backEnds = new BackEnd[MAX_MATCHES];
  private final double[] blocks = new double[MAX_MATCHES];
  private int count;

  /**
   * Adds a back end, or raises the number of blocks of one that is already present.
   *
   * @param held the number of blocks that it probably holds, weighted by the confidence in the
   *     entry
   */
  void add(BackEnd backEnd, double held) {
    for (int i = 0; i < count; i++) {
      if (backEnds[i] == backEnd) {
        blocks[i] = Math.max(blocks[i], held);
        return;
      }
    }
    int position = count < MAX_MATCHES ? count++ : positionOfFewestBlocks();
    if (backEnds[position] == null || blocks[position] < held) {
      backEnds[position] = backEnd;
      blocks[position] = held;
    }
  }

  int count() {
    return count;
  }

  BackEnd backEnd(int index) {
    return backEnds[index];
  }

  /**
   * Returns the number of blocks that a back end probably holds.
   *
   * @return the weighted number of blocks; 0 if the back end is not among the matches
   */
  double blocks(BackEnd backEnd) {
    for (int i = 0; i < count; i++) {
      if (backEnds[i] == backEnd) {
        return blocks[i];
      }
    }
    return 0;
  }

  private int positionOfFewestBlocks() {
    int fewest = 0;
    for (int i = 1; i < MAX_MATCHES; i++) {
      if (blocks[i] < blocks[fewest]) {
        fewest = i;
      }
    }
    return fewest;
  }
}
