package org.waxwingcourse.fleet.log;

import java.net.URI;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.NoOpThreadContextMap;
import org.apache.logging.log4j.spi.Provider;

/**
 * Binds the API of Log4j to the log of this package. Log4j creates it by its name, so it is public.
 */
public final class LineLogProvider extends Provider {
  /** Below that of every other provider: it is used only where it is selected by name. */
  private static final int PRIORITY = -1;

  /** Creates the provider. */
  public LineLogProvider() {
    super(PRIORITY, CURRENT_VERSION, Factory.class, NoOpThreadContextMap.class);
  }

  @Override
  public LoggerContextFactory getLoggerContextFactory() {
    return new Factory(new LineLoggerContext(FleetLogging.QUEUE));
  }

  /** Returns the same context to all callers. */
  private record Factory(LoggerContext context) implements LoggerContextFactory {
    @Override
    public LoggerContext getContext(
        String caller, ClassLoader loader, Object externalContext, boolean currentContext) {
      return context;
    }

    @Override
    public LoggerContext getContext(
        String caller,
        ClassLoader loader,
        Object externalContext,
        boolean currentContext,
        URI configLocation,
        String name) {
      return context;
    }

    @Override
    public boolean hasContext(String caller, ClassLoader loader, boolean currentContext) {
      return true;
    }

    @Override
    public void shutdown(
        String caller, ClassLoader loader, boolean currentContext, boolean allContexts) {
      ((LineLoggerContext) context).terminate();
    }

    @Override
    public void removeContext(LoggerContext removed) {
      // The only context lives as long as the process.
    }

    @Override
    public boolean isClassLoaderDependent() {
      return false;
    }
  }
}
