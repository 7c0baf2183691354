package org.waxwingcourse.peer;

/**
 * Counters of the peer transport since its creation.
 *
 * @param framesSent frames written, including heartbeats
 * @param bytesSent bytes of those frames, without TCP and IP headers
 * @param framesReceived frames received after the handshake, including heartbeats and their answers
 * @param bytesReceived bytes of those frames
 * @param dropped messages that this host dropped: the host's address was unknown, it could not be
 *     reached, its queue was full, the message was too large, or the transport was not running
 * @param dials connection attempts
 * @param silences connections replaced because a heartbeat was not answered by its deadline
 * @param refused inbound connections closed before their handshake was complete
 */
public record PeerStatistics(
    long framesSent,
    long bytesSent,
    long framesReceived,
    long bytesReceived,
    long dropped,
    long dials,
    long silences,
    long refused) {}
