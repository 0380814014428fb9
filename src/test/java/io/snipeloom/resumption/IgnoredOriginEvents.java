package io.snipeloom.resumption;

/** Ignores what happens to recorded origins. */
final class IgnoredOriginEvents implements StreamContinuity.Listener {
  @Override
  public void onRecorded(long total) {}

  @Override
  public void onRecordingFailed(int streams) {}

  @Override
  public void onReadFailed() {}

  @Override
  public void onDeclaration(StreamOrigin origin, boolean declared) {}

  @Override
  public void onRetired(DeclaredOrigin declared, boolean removed) {}
}
