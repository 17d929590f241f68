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
package org.lupinpaddle.core.workspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.workspace.QuotaAllocation.Grant;

/**
 * A workspace's quota at the owner of one service: tracks usage, decides whether tasks may be placed, and computes the grant
 * that the service should have. A task is charged from its placement until its run is known to be over. Tasks are placed only
 * within the durable grant, and grants never add up to more than the maximum, so owners need not know each other's usage.
 */
public final class WorkspaceQuota {

    // Minimum interval between writes that do not raise the grant; batches the returns of runs that end one by one.
    private static final long LOWERING_INTERVAL_MILLIS = 100;
    // Gives another owner time to observe the returned grant and acquire it.
    private static final long YIELD_MILLIS = 300;
    // An acquired reserve is at most half of the demand and at most a quarter of the ungranted amount.
    private static final long DEMAND_RESERVE_DIVISOR = 2;
    private static final long FREE_RESERVE_DIVISOR = 4;
    // Keeps a request in place while the waiting demand fluctuates with the free capacity of workers.
    private static final long REQUEST_RETENTION_MILLIS = 500;
    // Requests that differ by at most a quarter are not rewritten.
    private static final long REQUEST_CHANGE_DIVISOR = 4;

    private final String service;
    private Resources maximum = Resources.NONE;
    private QuotaAllocation allocation = QuotaAllocation.NONE;
    private long revision;
    private boolean allocationKnown;
    private boolean maximumConfirmed = true;
    /** The lowest grant among writes whose outcome is unknown; null if there are none. */
    private @Nullable Resources unconfirmed;

    private Resources used = Resources.NONE;
    /** The part of {@link #used} that is due to tasks that are being stopped. */
    private Resources stopping = Resources.NONE;

    private Resources waiting = Resources.NONE;
    /** The minimum amount that a placement of waiting tasks requires; null if none are waiting. */
    private @Nullable Resources smallestPlacement;

    private long loweredAt = Long.MIN_VALUE / 2;
    private long lastInsufficientAt = Long.MIN_VALUE / 2;
    private boolean yielding;
    private long yieldingUntil = Long.MIN_VALUE / 2;

    WorkspaceQuota(String service) {
        this.service = service;
    }

    /** Sets the maximum; resources with an amount of 0 are unlimited. */
    void setMaximum(Resources newMaximum) {
        maximum = newMaximum;
    }

    /** Sets whether the maximum is known to be the newest one. */
    void confirm(boolean isConfirmed) {
        maximumConfirmed = isConfirmed;
    }

    /** Returns whether any resource is limited. */
    public boolean isLimited() {
        return !maximum.equals(Resources.NONE);
    }

    /** Applies the stored allocation; revisions that are not newer are ignored. */
    public void onAllocation(QuotaAllocation stored, long atRevision) {
        if (allocationKnown && atRevision <= revision) {
            return;
        }
        allocationKnown = true;
        allocation = stored;
        revision = atRevision;
        unconfirmed = null;
    }

    /** Records that the store held no allocation at the given revision. */
    public void onNoAllocation(long atRevision) {
        if (!allocationKnown || (revision != 0 && atRevision > revision)) {
            allocationKnown = true;
            allocation = QuotaAllocation.NONE;
            revision = 0;
            unconfirmed = null;
        }
    }

    /** Returns whether the service has a stored request that exceeds its grant. */
    public boolean hasUnmetRequest() {
        return !allocation.grant(service).requested().equals(Resources.NONE);
    }

    /** Records that the stored allocation is unreadable; no task is placed until it can be read. */
    public void onUnreadable() {
        allocationKnown = false;
    }

    /** Returns the revision of the stored allocation that {@link #next} builds on, or 0 if there is none. */
    public long revision() {
        return revision;
    }

    /** Records that a write of an allocation has started; until its outcome is known, the lower grant applies. */
    public void onWriteStarted(QuotaAllocation next) {
        Resources granted = next.grant(service).granted();
        Resources previous = unconfirmed;
        unconfirmed = previous == null ? granted : minimum(previous, granted);
    }

    /** Charges a placed task to the quota. */
    public void add(Resources need) {
        used = used.plus(need);
    }

    /** Releases the charge of a task whose run is over. */
    public void remove(Resources need) {
        used = used.minus(need);
        yielding |= used.equals(Resources.NONE) && isContested();
    }

    /** Records that a charged task is being stopped, so that its charge will be released soon. */
    public void addStopping(Resources need) {
        stopping = stopping.plus(need);
    }

    /** Records that a task is no longer being stopped. */
    public void removeStopping(Resources need) {
        stopping = stopping.minus(need);
    }

    /** Resets the waiting demand; called before each placement pass. */
    void clearWaiting() {
        waiting = Resources.NONE;
        smallestPlacement = null;
    }

    /**
     * Adds tasks that are waiting although a worker might have room for them.
     *
     * @param total the amount that all of them need
     * @param placement the minimum amount that one placement requires: that of a single task, or of a whole gang
     */
    public void addWaiting(Resources total, Resources placement) {
        waiting = waiting.plus(total);
        Resources previous = smallestPlacement;
        smallestPlacement = previous == null ? placement : minimum(previous, placement);
    }

    /** Limits the waiting demand to the free capacity of the service's workers. */
    void boundWaiting(Resources free) {
        waiting = minimum(waiting, free);
    }

    private static Resources minimum(Resources a, Resources b) {
        return Resource.room(r -> Math.min(r.of(a), r.of(b)));
    }

    /** Returns whether tasks that need the given amount may be placed now. */
    public boolean mayPlace(Resources need) {
        if (!isLimited()) {
            return true;
        }
        if (!allocationKnown || !maximumConfirmed || yielding) {
            return false;
        }
        for (Resource r : Resource.values()) {
            if (r.of(maximum) > 0 && r.of(need) > 0 && !mayPlace(r, r.of(need), r.of(used))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a task that is charged already may be placed again after its run has been stopped. It may not
     * where the grant or the maximum has been lowered below the usage, or where another service would get the released
     * quota: because the usage exceeds the fair share, or because no other task is charged apart from those that are
     * being stopped.
     */
    public boolean mayReplace(Resources need) {
        if (!isLimited()) {
            return true;
        }
        boolean isLast = used.minus(stopping).equals(need);
        if (!allocationKnown || !maximumConfirmed || yielding || (isLast && isContested())) {
            return false;
        }
        for (Resource r : Resource.values()) {
            boolean isLimited = r.of(maximum) > 0 && r.of(need) > 0;
            if (isLimited && (exceedsFairShare(r, need) || !mayPlace(r, r.of(need), r.of(used) - r.of(need)))) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether another service would get a part of the usage as soon as it is released. */
    private boolean exceedsFairShare(Resource r, Resources need) {
        return isContested() && r.of(used) > fairShare(r, r.of(used), r.of(need));
    }

    private boolean mayPlace(Resource r, long need, long inUse) {
        long granted = granted(r);
        Resources pending = unconfirmed;
        long usable = pending == null ? granted : Math.min(granted, r.of(pending));
        boolean overGranted = granted + othersGranted(r) > Math.max(r.of(maximum), need);
        return !overGranted && inUse + need <= usable;
    }

    /**
     * Returns whether a placed task, whose need is charged already, would be started beyond the maximum, which may have been
     * lowered since. A task that is larger than the maximum may be started where nothing else is charged.
     */
    public boolean isExceededBy(Resources need) {
        for (Resource r : Resource.values()) {
            long limit = Math.max(r.of(maximum), r.of(need));
            if (r.of(maximum) > 0 && r.of(need) > 0 && r.of(used) + othersGranted(r) > limit) {
                return true;
            }
        }
        return false;
    }

    private long granted(Resource r) {
        return r.of(allocation.grant(service).granted());
    }

    private long othersGranted(Resource r) {
        return allocation.grants().entrySet().stream()
                .filter(e -> !e.getKey().equals(service))
                .mapToLong(e -> r.of(e.getValue().granted()))
                .sum();
    }

    /** Returns whether another service requests more than its grant. */
    private boolean isContested() {
        return allocation.grants().entrySet().stream()
                .filter(e -> !e.getKey().equals(service))
                .anyMatch(e -> !e.getValue().requested().equals(Resources.NONE));
    }

    /** Returns the allocation that should replace the stored one; empty if no write is needed. */
    public Optional<QuotaAllocation> next(long now) {
        if (!isLimited() || !allocationKnown) {
            return Optional.empty();
        }
        if (yielding && yieldingUntil < now - YIELD_MILLIS) {
            yieldingUntil = now + YIELD_MILLIS;
        }
        yielding = yielding && now < yieldingUntil;
        Grant current = allocation.grant(service);
        Resources target = yielding ? Resources.NONE : target();
        Resources need = used.plus(waiting);
        boolean insufficient = exceeds(need, target);
        lastInsufficientAt = insufficient ? now : lastInsufficientAt;
        boolean retained = !insufficient && now - lastInsufficientAt < REQUEST_RETENTION_MILLIS;
        Resources requested = insufficient ? need : retained ? current.requested() : Resources.NONE;
        Grant wanted = new Grant(target, requested);
        boolean raises = exceeds(target, current.granted());
        boolean tooSoon = !raises && now - loweredAt < LOWERING_INTERVAL_MILLIS;
        // After a write without a known outcome any write that succeeds makes the whole grant usable again.
        if (unconfirmed == null && (tooSoon || isSimilar(wanted, current))) {
            return Optional.empty();
        }
        loweredAt = raises ? loweredAt : now;
        return Optional.of(allocation.with(service, wanted));
    }

    /** Returns whether {@code a} exceeds {@code b} in any limited resource. */
    private boolean exceeds(Resources a, Resources b) {
        for (Resource r : Resource.values()) {
            if (r.of(maximum) > 0 && r.of(a) > r.of(b)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isSimilar(Grant a, Grant b) {
        boolean bothRequest =
                !a.requested().equals(Resources.NONE) && !b.requested().equals(Resources.NONE);
        boolean similar = bothRequest && isSimilar(a.requested(), b.requested());
        return a.granted().equals(b.granted()) && (similar || a.requested().equals(b.requested()));
    }

    private static boolean isSimilar(Resources a, Resources b) {
        for (Resource r : Resource.values()) {
            if (Math.abs(r.of(a) - r.of(b)) > Math.max(r.of(a), r.of(b)) / REQUEST_CHANGE_DIVISOR) {
                return false;
            }
        }
        return true;
    }

    private Resources target() {
        Resources desired = Resource.room(r -> r.of(maximum) == 0 ? 0 : target(r));
        Resources placement = smallestPlacement;
        boolean sufficient = placement == null || !exceeds(used.plus(placement), desired);
        if (sufficient) {
            return desired;
        }
        // Acquires nothing that is too small for a placement, and returns the unused part if others request it.
        Resources current = allocation.grant(service).granted();
        return isContested() ? Resource.room(r -> Math.min(r.of(used), r.of(current))) : minimum(current, desired);
    }

    private long target(Resource r) {
        long granted = granted(r);
        long others = othersGranted(r);
        long inUse = r.of(used);
        long placement = smallestPlacement == null ? 0 : r.of(smallestPlacement);
        // A placement larger than the maximum is allowed if no other service holds a grant.
        long limit = Math.max(r.of(maximum), placement);
        if (granted + others > limit) {
            return Math.min(granted, inUse);
        }
        long free = limit - others - granted;
        long need = inUse + r.of(waiting);
        boolean contested = isContested();
        long desired = contested ? Math.min(need, fairShare(r, need, placement)) : withReserve(need, free);
        desired = Math.max(desired, inUse);
        if (desired > granted) {
            return Math.min(desired, granted + free);
        }
        return contested ? desired : granted;
    }

    /** Returns the demand plus a reserve, so that rising demand does not need a write each time. */
    private static long withReserve(long need, long free) {
        return need + Math.min(need / DEMAND_RESERVE_DIVISOR, free / FREE_RESERVE_DIVISOR);
    }

    /** Returns the max-min fair share of the maximum: equal for all services whose demand exceeds it. */
    private long fairShare(Resource r, long need, long placement) {
        List<Long> needs = new ArrayList<>();
        allocation.grants().forEach((s, g) -> {
            if (!s.equals(service)) {
                needs.add(Math.max(r.of(g.granted()), r.of(g.requested())));
            }
        });
        needs.add(need);
        needs.sort(null);
        long remaining = r.of(maximum);
        long share = 0;
        for (int i = 0; i < needs.size(); i++) {
            share = remaining / (needs.size() - i);
            if (needs.get(i) >= share) {
                break;
            }
            remaining -= needs.get(i);
        }
        // A service without running tasks may exceed its share for one placement, so that large tasks do not starve.
        return r.of(used) == 0 ? Math.max(share, placement) : share;
    }

    /** Returns a description of usage and limits for log messages. */
    public String describe() {
        Grant g = allocation.grant(service);
        return "used=" + format(used) + " granted=" + format(g.granted()) + " waiting=" + format(waiting) + " maximum="
                + format(maximum);
    }

    private static String format(Resources r) {
        return r.cpuMillis() + "/" + r.memoryMb() + "/" + r.accelerators();
    }
}
