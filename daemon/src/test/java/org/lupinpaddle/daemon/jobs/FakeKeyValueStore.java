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
package org.lupinpaddle.daemon.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreException;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StorePage;

/** An in-memory store that can leave commits unanswered and apply them later. */
final class FakeKeyValueStore implements KeyValueStore {

    /** The maximum number of conditions, puts and removals in a commit. */
    private static final int MAX_ROWS = 32;

    private final Map<String, StoreItem> items = new HashMap<>();
    private final List<StoreCommit> droppedCommits = new ArrayList<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private long revision;
    private long leases;

    private record PendingWatch(String prefix, long after, CompletableFuture<StoreChanges> answer) {}

    /** Whether commits wait, unanswered, until {@link #answerNext} is called. */
    boolean delaysCommits;

    /** The maximum length of a value. */
    int maxValueLength = Integer.MAX_VALUE;

    /** The number of requested commits. */
    int commits;

    /** The requested pages and watches, each as call, prefix and, for a watch, waiting time. */
    final List<String> calls = new ArrayList<>();

    /** Whether the store refuses pages and watches. */
    boolean refusesPagesAndWatches;

    /** The number of requested reads of single keys. */
    int reads;

    /** Whether reads of single keys stay unanswered. */
    boolean dropsReads;

    /** The number of requested lease renewals. */
    int renewals;

    /** The number of following lease renewals that get no answer and have no effect. */
    int renewalsToLose;

    /** The lost renewals, which a test fails after their time limit. */
    final Deque<CompletableFuture<Boolean>> lostRenewals = new ArrayDeque<>();

    private final Deque<Delayed> delayed = new ArrayDeque<>();

    private record Delayed(StoreCommit commit, CompletableFuture<CommitResult> answer) {}

    /** Whether commits are reported as unanswered and are kept to be applied later. */
    boolean dropsCommitAnswers;

    long set(String key, String value) {
        revision++;
        items.put(key, new StoreItem(key, value, revision, 0));
        return revision;
    }

    /** Writes bytes that are not valid text. */
    void setNonText(String key) {
        revision++;
        items.put(key, StoreItem.notText(key, revision, 0));
    }

    /** Removes an item; watches report it with the next notification. */
    void remove(String key) {
        revision++;
        items.remove(key);
        removedAt.put(key, revision);
    }

    String value(String key) {
        StoreItem i = items.get(key);
        return i == null ? "" : i.value();
    }

    /** Applies the kept commits if their conditions still hold. */
    void applyDroppedCommits() {
        droppedCommits.forEach(this::apply);
        droppedCommits.clear();
    }

    /** Applies and answers the oldest waiting commit; returns whether there was one. */
    boolean answerNext() {
        Delayed d = delayed.poll();
        if (d != null) {
            d.answer.complete(apply(d.commit));
        }
        return d != null;
    }

    /** Returns whether a write of the fleet's recent orders waits for its answer. */
    boolean hasDelayedRecentOrders() {
        return delayed.stream()
                .anyMatch(d -> d.commit.puts().stream().anyMatch(p -> p.key().equals(SchedulerKeys.recentOrders())));
    }

    @Override
    public CompletableFuture<CommitResult> commit(StoreCommit c) {
        commits++;
        if (delaysCommits) {
            Delayed d = new Delayed(c, new CompletableFuture<>());
            delayed.add(d);
            return d.answer;
        }
        if (dropsCommitAnswers) {
            droppedCommits.add(c);
            return CompletableFuture.completedFuture(new CommitResult(CommitResult.Outcome.UNKNOWN, 0, List.of()));
        }
        return CompletableFuture.completedFuture(apply(c));
    }

    private CommitResult apply(StoreCommit c) {
        boolean tooLong = c.conditions().size() + c.puts().size() + c.removals().size() > MAX_ROWS;
        if (tooLong || c.puts().stream().anyMatch(p -> p.value().length() > maxValueLength)) {
            return new CommitResult(CommitResult.Outcome.REJECTED, 0, List.of());
        }
        boolean holds = c.conditions().stream().allMatch(w -> revisionOf(w.key()) == w.revision());
        if (!holds) {
            List<StoreItem> current = c.conditions().stream()
                    .map(w -> items.get(w.key()))
                    .filter(Objects::nonNull)
                    .toList();
            return new CommitResult(CommitResult.Outcome.CONFLICT, 0, current);
        }
        revision++;
        c.puts().forEach(p -> items.put(p.key(), new StoreItem(p.key(), p.value(), revision, p.lease())));
        c.removals().forEach(key -> {
            items.remove(key);
            removedAt.put(key, revision);
        });
        return new CommitResult(CommitResult.Outcome.MADE, revision, List.of());
    }

    private long revisionOf(String key) {
        StoreItem i = items.get(key);
        return i == null ? 0 : i.revision();
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> read(String key) {
        reads++;
        return dropsReads
                ? new CompletableFuture<>()
                : CompletableFuture.completedFuture(Optional.ofNullable(items.get(key)));
    }

    @Override
    public CompletableFuture<StorePage> page(String prefix, String after) {
        calls.add("page " + prefix);
        if (refusesPagesAndWatches) {
            return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.REFUSED, "page"));
        }
        List<StoreItem> found =
                items.values().stream().filter(i -> i.key().startsWith(prefix)).toList();
        return CompletableFuture.completedFuture(new StorePage(found, revision, false));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        calls.add("watch " + prefix + " " + waitMillis);
        if (refusesPagesAndWatches) {
            return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.REFUSED, "watch"));
        }
        PendingWatch w = new PendingWatch(prefix, afterRevision, new CompletableFuture<>());
        pendingWatches.add(w);
        return w.answer;
    }

    /** The prefix whose watches get no answer; empty for none. */
    String mutedPrefix = "";

    /** Answers the pending watches with the items written or removed since. */
    void notifyWatches() {
        List<PendingWatch> answered = pendingWatches.stream()
                .filter(w -> mutedPrefix.isEmpty() || !w.prefix.equals(mutedPrefix))
                .toList();
        pendingWatches.removeAll(answered);
        answered.forEach(w -> w.answer.complete(new StoreChanges(changes(w), revision)));
    }

    /** Fails the pending watches, whether or not they are muted. */
    void failWatches(StoreException.Kind why) {
        List<PendingWatch> failed = List.copyOf(pendingWatches);
        pendingWatches.clear();
        failed.forEach(w -> w.answer.completeExceptionally(new StoreException(why, "watch")));
    }

    private List<StoreChanges.Change> changes(PendingWatch w) {
        Stream<StoreChanges.Change> removed = removedAt.entrySet().stream()
                .filter(e -> e.getKey().startsWith(w.prefix) && e.getValue() > w.after)
                .filter(e -> !items.containsKey(e.getKey()))
                .map(e -> new StoreChanges.Change(e.getKey(), null));
        Stream<StoreChanges.Change> written = items.values().stream()
                .filter(i -> i.key().startsWith(w.prefix) && i.revision() > w.after)
                .map(i -> new StoreChanges.Change(i.key(), i));
        return Stream.concat(removed, written).toList();
    }

    @Override
    public CompletableFuture<Long> openLease(long ttlMillis) {
        leases++;
        return CompletableFuture.completedFuture(leases);
    }

    /** Leases never expire by themselves. */
    @Override
    public CompletableFuture<Boolean> keepLease(long lease) {
        renewals++;
        if (renewalsToLose > 0) {
            renewalsToLose--;
            CompletableFuture<Boolean> lost = new CompletableFuture<>();
            lostRenewals.add(lost);
            return lost;
        }
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Boolean> endLease(long lease) {
        List.copyOf(items.values()).stream().filter(i -> i.lease() == lease).forEach(i -> remove(i.key()));
        return CompletableFuture.completedFuture(true);
    }
}
