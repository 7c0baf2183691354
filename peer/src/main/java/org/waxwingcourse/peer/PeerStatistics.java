package org.waxwingcourse.peer;

/**
 * Counts since the transport started.
 *
 * @param framesSent frames written, heartbeats included
 * @param bytesSent bytes of those frames, without TCP and IP headers
 * @param framesReceived frames taken from proven hosts
 * @param bytesReceived bytes of those frames
 * @param dropped messages lost here: no address, no connection, or the backlog was full
 * @param dials connections begun
 * @param silences connections replaced because a heartbeat was not answered in time
 * @param refused connections cut before a frame was taken
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
