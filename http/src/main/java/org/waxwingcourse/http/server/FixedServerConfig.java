package org.waxwingcourse.http.server;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.reflect.TypeToken;
import io.netty.handler.ssl.SslContext;
import java.net.InetAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import ratpack.config.ConfigObject;
import ratpack.file.FileSystemBinding;
import ratpack.server.NoBaseDirException;
import ratpack.server.ServerConfig;

/**
 * The configuration of a server, given in code. Ratpack's own builder reads it through Jackson's
 * object mapper with five modules, for files and variables that are not used here.
 *
 * @param options the address and limits
 * @param maxHeaderSize the header size in bytes at which Ratpack closes a connection
 */
@SuppressWarnings("deprecation") // Ratpack's interface has deprecated methods.
record FixedServerConfig(HttpServer.Options options, int maxHeaderSize) implements ServerConfig {
  @Override
  public int getPort() {
    return options.address().getPort();
  }

  @Override
  public InetAddress getAddress() {
    return options.address().getAddress();
  }

  @Override
  public int getThreads() {
    return options.threads();
  }

  @Override
  public int getMaxHeaderSize() {
    return maxHeaderSize;
  }

  @Override
  public Duration getIdleTimeout() {
    return options.idleTimeout();
  }

  @Override
  public int getMaxContentLength() {
    return DEFAULT_MAX_CONTENT_LENGTH;
  }

  @Override
  public int getMaxChunkSize() {
    return DEFAULT_MAX_CHUNK_SIZE;
  }

  @Override
  public int getMaxInitialLineLength() {
    return DEFAULT_MAX_INITIAL_LINE_LENGTH;
  }

  @Override
  public boolean isDevelopment() {
    return false;
  }

  @Override
  public boolean isRegisterShutdownHook() {
    return false;
  }

  @Override
  public Optional<Path> getPortFile() {
    return Optional.empty();
  }

  @Override
  public URI getPublicAddress() {
    return null;
  }

  @Override
  public SSLContext getSslContext() {
    return null;
  }

  @Override
  public SslContext getNettySslContext() {
    return null;
  }

  @Override
  public boolean isRequireClientSslAuth() {
    return false;
  }

  @Override
  public Optional<Integer> getConnectTimeoutMillis() {
    return Optional.empty();
  }

  @Override
  public Optional<Integer> getMaxMessagesPerRead() {
    return Optional.empty();
  }

  @Override
  public Optional<Integer> getReceiveBufferSize() {
    return Optional.empty();
  }

  @Override
  public Optional<Integer> getConnectQueueSize() {
    return Optional.empty();
  }

  @Override
  public Optional<Integer> getWriteSpinCount() {
    return Optional.empty();
  }

  @Override
  public boolean isHasBaseDir() {
    return false;
  }

  @Override
  public FileSystemBinding getBaseDir() {
    throw new NoBaseDirException("the server serves no files");
  }

  @Override
  public ImmutableSet<ConfigObject<?>> getRequiredConfig() {
    return ImmutableSet.of();
  }

  @Override
  public ObjectNode getRootNode() {
    return JsonNodeFactory.instance.objectNode();
  }

  @Override
  public <O> ConfigObject<O> getAsConfigObject(String pointer, TypeToken<O> type) {
    throw new UnsupportedOperationException("the server has no further configuration");
  }
}
