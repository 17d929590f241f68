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
import java.util.stream.Stream;
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
    // Gives services below their fair shares time to acquire free quota before another one exceeds its share.
    private static final long EXCESS_DELAY_MILLIS = 150;
    private static final long REPEATED_EXCESS_DELAY_MILLIS = 2 * EXCESS_DELAY_MILLIS;
    // A service that cannot use a grant beyond its share for this long returns it.
    private static final long EXCESS_USE_MILLIS = 1_000;
    // Each pass compares a placement with all that are kept, and the most urgent ones come first.
    private static final int MAX_PLACEMENTS = 16;
    private static final long NEVER = Long.MAX_VALUE;

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
    /** The amounts that placements of waiting tasks require, except those that cover another one; most urgent first. */
    private final List<Resources> placements = new ArrayList<>();

    /** Since when free quota has sufficed for a placement that exceeds the fair share; {@link #NEVER} if it does not. */
    private long idleSince = NEVER;
    /** Since when the grant has covered such a placement; {@link #NEVER} if it does not. */
    private long excessGrantedAt = NEVER;
    /** When the service last used more than its fair share, or returned a grant that it could not use. */
    private long exceededAt = Long.MIN_VALUE / 2;

    private long waitingAt = Long.MIN_VALUE / 2;
    /** Whether a run that exceeded the fair share has ended and the grant still covers it; it must be acquired anew. */
    private boolean excessReleased;

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
        boolean exceeded = exceedsFairShare(used);
        used = used.minus(need);
        boolean isUnused = used.equals(Resources.NONE);
        excessReleased = !isUnused && (exceeded || excessReleased);
        yielding |= isUnused && isContested();
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
        placements.clear();
    }

    /**
     * Adds tasks that are waiting although a worker might have room for them.
     *
     * @param total the amount that all of them need
     * @param placement the minimum amount that one placement requires: that of a single task, or of a whole gang
     */
    public void addWaiting(Resources total, Resources placement) {
        waiting = waiting.plus(total);
        if (placements.stream().noneMatch(placement::canHold)) {
            placements.removeIf(p -> p.canHold(placement));
            if (placements.size() < MAX_PLACEMENTS) {
                placements.add(placement);
            }
        }
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
        return !excessReleased || !exceedsFairShare(used.plus(need));
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

    /** Returns whether another service would get a part of the amount as soon as it is released. */
    private boolean exceedsFairShare(Resources amount) {
        return isContested()
                && Stream.of(Resource.values())
                        .anyMatch(r -> r.of(maximum) > 0 && r.of(amount) > fairShare(r, r.of(amount), 0));
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
        exceededAt = exceedsFairShare(used) ? now : exceededAt;
        excessReleased =
                excessReleased && exceedsFairShare(allocation.grant(service).granted());
        Resources target = yielding ? Resources.NONE : target(now);
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

    private Resources target(long now) {
        if (placements.isEmpty()) {
            idleSince = now - waitingAt < REQUEST_RETENTION_MILLIS ? idleSince : NEVER;
            return desired(Resources.NONE);
        }
        waitingAt = now;
        for (Resources placement : placements) {
            Resources desired = desired(placement);
            if (!exceeds(used.plus(placement), desired)) {
                idleSince = NEVER;
                return desired;
            }
        }
        Optional<Resources> excess =
                placements.stream().filter(this::isFree).map(used::plus).findFirst();
        idleSince = excess.isEmpty() ? NEVER : Math.min(idleSince, now);
        if (excess.isPresent() && mayExceedShare(excess.get(), now)) {
            return limited(excess.get());
        }
        // Acquires nothing that is too small for a placement, and returns the unused part if others request it.
        Resources current = allocation.grant(service).granted();
        return isContested() ? limited(minimum(used, current)) : minimum(current, desired(placements.get(0)));
    }

    /** Returns whether the quota that no service uses or holds suffices for a placement, and workers may have room. */
    private boolean isFree(Resources placement) {
        if (exceeds(placement, waiting)) {
            return false;
        }
        for (Resource r : Resource.values()) {
            long limit = Math.max(r.of(maximum), r.of(placement));
            if (r.of(maximum) > 0 && r.of(placement) > 0 && r.of(used) + othersGranted(r) + r.of(placement) > limit) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the service may use free quota beyond its fair share for one placement. It may if the others have left
     * it unused for some time: each of them may be waiting for a placement that exceeds its own share, and none of them
     * could ever begin. A service that has lately exceeded its share waits longer, so that the others come before it.
     */
    private boolean mayExceedShare(Resources excess, long now) {
        boolean granted = !exceeds(excess, allocation.grant(service).granted());
        excessGrantedAt = granted ? Math.min(excessGrantedAt, now) : NEVER;
        if (granted && now - excessGrantedAt > EXCESS_USE_MILLIS) {
            excessGrantedAt = NEVER;
            exceededAt = now;
            idleSince = now;
        }
        boolean exceededLately = now - exceededAt < REPEATED_EXCESS_DELAY_MILLIS;
        return now - idleSince >= (exceededLately ? REPEATED_EXCESS_DELAY_MILLIS : EXCESS_DELAY_MILLIS);
    }

    private Resources limited(Resources amount) {
        return Resource.room(r -> r.of(maximum) == 0 ? 0 : r.of(amount));
    }

    /** Returns the grant within the fair share, given the placement that it should suffice for. */
    private Resources desired(Resources placement) {
        return Resource.room(r -> r.of(maximum) == 0 ? 0 : desired(r, r.of(placement)));
    }

    private long desired(Resource r, long placement) {
        long granted = granted(r);
        long others = othersGranted(r);
        long inUse = r.of(used);
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
