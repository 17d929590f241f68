/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.request.RequestEvent.ClaimResult;
import org.lupinpaddle.core.view.StoredRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.platform.Platform;
import org.lupinpaddle.daemon.platform.Platform.Swap;
import org.lupinpaddle.daemon.platform.StoreWriter;
import org.lupinpaddle.daemon.platform.WriteResult;

/**
 * Takes and gives back claims on unsafe jobs: a key per job, created if absent, so that a caller's second
 * try through another entry can not run the job again. A claim whose holder sent nothing is marked as not
 * run, and the next try swaps from there. Claims go with a lease of two days, which one entry's claims of a
 * day share, so old ones vanish without a write each. The idea of immutable claims is that of "feat(router):
 * coordinate session affinity across replicas", which keeps them in the store that is there already.
 */
public final class ClaimKeeper {

    private static final long LEASE_SECONDS = 172_800;
    private static final long LEASE_REUSE_MILLIS = 86_400_000;
    // A caller waits for the claim: the store must answer within this or the job is refused.
    private static final long CLAIM_TIMEOUT_MILLIS = 1_000;
    private static final long RELEASE_RETRY_MILLIS = 2_000;
    private static final int MAX_PENDING_RELEASES = 10_000;

    private final Platform platform;
    private final StoreWriter writer;
    private final EventLoop loop;
    private final String self;
    private final BooleanSupplier platformOk;
    private final Deque<PendingRelease> pendingReleases = new ArrayDeque<>();
    private long lease;
    private long leaseGrantedAt;
    private boolean releasing;

    /** Makes the keeper of an entry; {@code platformOk} says whether the store has answered lately. */
    public ClaimKeeper(Platform platform, StoreWriter writer, EventLoop loop, String self, BooleanSupplier platformOk) {
        this.platform = platform;
        this.writer = writer;
        this.loop = loop;
        this.self = self;
        this.platformOk = platformOk;
    }

    private record PendingRelease(String key, String claimId) {}

    /**
     * Takes the claim on a job; the result is given on the loop.
     *
     * @param claimId made anew for each try by this entry: what a caller sends could come twice
     */
    public void acquire(String service, String jobId, String claimId, Consumer<ClaimResult> onResult) {
        if (!platformOk.getAsBoolean()) {
            onResult.accept(ClaimResult.UNKNOWN);
            return;
        }
        String key = StoreKeys.claim(service, jobId);
        withLease(id -> create(key, claimId, 0, id, onResult), () -> onResult.accept(ClaimResult.UNKNOWN));
    }

    private void withLease(Consumer<Long> action, Runnable onFailure) {
        long now = loop.clock().millis();
        if (lease != 0 && now - leaseGrantedAt < LEASE_REUSE_MILLIS) {
            action.accept(lease);
            return;
        }
        var unused = platform.grantLease(LEASE_SECONDS)
                .whenComplete((id, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        onFailure.run();
                    } else {
                        lease = id;
                        leaseGrantedAt = now;
                        action.accept(id);
                    }
                }));
    }

    private void create(String key, String claimId, long expected, long leaseId, Consumer<ClaimResult> onResult) {
        String value = RecordCodec.write(new ClaimRecord(claimId, self, false));
        writer.write(new Swap(key, value, expected, leaseId), claimId, CLAIM_TIMEOUT_MILLIS, result -> {
            switch (result.fate()) {
                case ACCEPTED -> onResult.accept(ClaimResult.WON);
                case UNKNOWN -> onResult.accept(ClaimResult.UNKNOWN);
                case REFUSED -> {
                    if (expected == 0) {
                        takeOverIfNotRun(key, claimId, leaseId, onResult);
                    } else {
                        onResult.accept(ClaimResult.HELD);
                    }
                }
            }
        });
    }

    private void takeOverIfNotRun(String key, String claimId, long leaseId, Consumer<ClaimResult> onResult) {
        read(
                key,
                existing -> {
                    boolean free = RecordCodec.read(existing.value(), ClaimRecord.class)
                            .map(ClaimRecord::notRun)
                            .getOrElse(false);
                    if (free) {
                        create(key, claimId, existing.revision(), leaseId, onResult);
                    } else {
                        onResult.accept(ClaimResult.HELD);
                    }
                },
                () -> onResult.accept(ClaimResult.HELD));
    }

    private void read(String key, Consumer<StoredRecord> action, Runnable onFailure) {
        var unused = platform.range(key, 0)
                .whenComplete((range, failure) -> loop.execute(() -> {
                    List<StoredRecord> found = failure != null
                            ? List.of()
                            : range.records().stream()
                                    .filter(record -> record.key().equals(key))
                                    .toList();
                    if (found.isEmpty()) {
                        onFailure.run();
                    } else {
                        action.accept(found.get(0));
                    }
                }));
    }

    /** Marks a claim as not run, now or when the store is back. */
    public void release(String service, String jobId, String claimId) {
        if (pendingReleases.size() >= MAX_PENDING_RELEASES) {
            Log.warn("claim-left", "job", jobId, "why", "too many claims wait for the store");
            return;
        }
        pendingReleases.add(new PendingRelease(StoreKeys.claim(service, jobId), claimId));
        releaseNext();
    }

    /** Returns how many claims wait to be marked as not run. */
    public int pendingReleaseCount() {
        return pendingReleases.size();
    }

    // One at a time: after an outage the claims of many entries come back as a trickle, not as a burst.
    private void releaseNext() {
        PendingRelease next = pendingReleases.peek();
        if (releasing || next == null) {
            return;
        }
        releasing = true;
        var unused = platform.range(next.key, 0)
                .whenComplete((range, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        retryReleaseLater();
                        return;
                    }
                    range.records().stream()
                            .filter(record -> record.key().equals(next.key)
                                    && record.value().contains(next.claimId))
                            .findFirst()
                            .ifPresentOrElse(existing -> markNotRun(next, existing), this::onReleased);
                }));
    }

    private void markNotRun(PendingRelease next, StoredRecord existing) {
        String value = RecordCodec.write(new ClaimRecord(next.claimId, self, false).released());
        withLease(
                id -> writer.write(new Swap(next.key, value, existing.revision(), id), "\"notRun\":true", result -> {
                    if (result.fate() == WriteResult.Fate.UNKNOWN) {
                        retryReleaseLater();
                    } else {
                        onReleased();
                    }
                }),
                this::retryReleaseLater);
    }

    private void onReleased() {
        pendingReleases.poll();
        releasing = false;
        releaseNext();
    }

    private void retryReleaseLater() {
        loop.after(RELEASE_RETRY_MILLIS, () -> {
            releasing = false;
            releaseNext();
        });
    }
}
