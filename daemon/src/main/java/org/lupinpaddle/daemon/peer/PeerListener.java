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
package org.lupinpaddle.daemon.peer;

import org.lupinpaddle.daemon.peer.proto.Frame;
import org.lupinpaddle.daemon.peer.proto.Hello;

/** Takes what comes from other entries; called on the event loop. */
public interface PeerListener {

    /** An entry has opened a connection to this one. */
    void onHello(Hello hello);

    /** An entry has sent a frame. */
    void onFrame(String from, Frame frame);

    /** The connection from an entry has broken off. */
    void onGone(String id);
}
